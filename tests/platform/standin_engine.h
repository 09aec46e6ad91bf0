#pragma once

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "raw_server.h"

namespace radishstep::testing {

/// What is wrong with an engine's answers.
enum class engine_fault {
    none,
    /// The call runs, and the connection is reset in place of the answer.
    reset_after_run,
    /// The call runs and is never answered.
    never_answers,
    /// The answer ends before its announced length.
    cut_body,
    /// The answer bears the id of another call.
    wrong_id,
    /// A second answer follows the first on the same connection.
    extra_answer,
    /// The answer has no signature.
    no_signature,
    /// The answer has a content encoding.
    encoded,
    /// The engine's own failure.
    error_500,
    /// The engine is full and says that it did not run the call.
    shed,
    /// The address belongs to another engine now.
    other_instance,
    /// A stream is reset in the middle of its fourth event.
    cut_stream,
    /// Read prompts are gone at once.
    expired_prefill_results,
};

/// A call as an engine got it.
struct engine_call
{
    std::string id;
    std::string kind;
    http::request asked;
    bool has_run = false;
    bool caller_left = false;
    time_point at;
};

/// A stand-in of one engine or plain endpoint of the platform. Runs on one executor; the functions for
/// tests may be called from any thread.
class standin_engine
{
public:
    /// `phase` is "prefill", "decode" or "" for a plain endpoint.
    standin_engine(const boost::asio::any_io_executor& executor, std::string id, std::string service,
                   std::string phase);

    /// Returns what the engine writes into the store.
    std::string entry(const std::string& state = "ready") const;

    /// Has the entry name another address, such as a proxy's.
    void set_advertised_address(const std::string& address) { this->announced = address; }

    std::string key() const { return "servers/" + this->id; }
    std::string address() const { return this->server.address(); }

    /// Faults last until they are changed.
    void set_fault(engine_fault fault);
    void set_work_time(milliseconds time);

    /// Returns all calls so far.
    std::vector<engine_call> calls() const;

    /// Returns how many calls the engine works on now.
    int active_count() const { return this->active_calls; }

    /// Returns how many calls have run.
    int runs() const;

    /// Stops accepting connections, as an engine that is gone.
    void stop() { this->server.stop(); }

    /// Events of a whole stream.
    static constexpr int stream_events = 8;

private:
    boost::asio::awaitable<bool> answer(const http::request& asked, raw_connection& caller);
    boost::asio::awaitable<bool> answer_whole(std::size_t call, raw_connection& caller);
    boost::asio::awaitable<bool> answer_prefill(std::size_t call, raw_connection& caller);
    boost::asio::awaitable<bool> answer_stream(std::size_t call, raw_connection& caller);
    boost::asio::awaitable<bool> work(std::size_t call, raw_connection& caller);
    http::headers head_of(std::size_t call) const;
    std::size_t note(const http::request& asked, const std::string& kind);
    void note_run(std::size_t call);
    void note_left(std::size_t call);
    engine_fault current_fault() const;

    std::string id;
    std::string service;
    std::string phase;
    std::string announced;
    mutable std::mutex mutex;
    engine_fault fault = engine_fault::none;
    milliseconds work_time{5};
    std::vector<engine_call> all_calls;
    std::atomic<int> active_calls = 0;
    raw_server server;
};

/// Returns the whole stream of a request, as every engine makes it.
std::string whole_stream(const std::string& request_id);

} // namespace radishstep::testing
