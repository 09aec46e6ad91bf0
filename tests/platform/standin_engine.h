#pragma once

#include <atomic>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include "base/runtime_clock.h"
#include "raw_server.h"

namespace radishstep::testing {

/// Faults that an engine can simulate.
enum class engine_fault {
    none,
    /// The call runs, and the connection is reset instead of a response.
    reset_after_run,
    /// The call runs and is never answered.
    never_answers,
    /// The response ends before its announced length.
    cut_body,
    /// The response carries the id of another call.
    wrong_id,
    /// A second response follows the first on the same connection.
    extra_answer,
    /// The response has no signature.
    no_signature,
    /// The response has a content encoding.
    encoded,
    /// The call runs and is answered 500.
    error_500,
    /// The engine is full and responds that it did not run the call.
    shed,
    /// Another engine now uses the address.
    other_instance,
    /// A stream is reset in the middle of its fourth event.
    cut_stream,
    /// Prefill results expire at once.
    expired_prefill_results,
    /// The response's head has no end; it is sent until the caller closes the connection.
    endless_head,
    /// The response's body has no end.
    endless_body,
    /// The response's body has no end, no length and no chunks.
    endless_unframed_body,
    /// After its third event a stream sends a byte of a comment every 100 ms, and no further event.
    dripping_stream,
    /// A stream pauses once for standin_engine::stream_pause, after the third event of the call, and goes on.
    pausing_stream,
    /// A stream's head comes after standin_engine::stream_pause.
    late_head,
    /// Like pausing_stream, with a pause of 1,350 ms: the engine goes on while another one is being called.
    short_pause,
    /// The engine is full and says so 500 ms after the call.
    late_shed,
};

/// A call that an engine received.
struct engine_call
{
    std::string id;
    std::string kind;
    http::request request;
    bool has_run = false;
    bool caller_disconnected = false;
    time_point received_at;
    /// Port of the connection's other end, which tells connections apart.
    unsigned caller_port = 0;
    /// Start time of the engine's incarnation that received the call.
    std::int64_t started_ms = 0;
    /// Set if the call was refused with a time to stay away.
    std::optional<std::string> asked_pause;
};

/// What happens to the connection after a scripted answer.
enum class answer_end {
    keep_open,
    close,
    reset,
    /// The engine ends its side of the connection, and resets the connection after the delay.
    shut_down_then_reset,
};

/// The bytes that an engine answers a call with, sent in parts.
struct scripted_answer
{
    std::vector<std::string> parts;
    answer_end end = answer_end::keep_open;
    bool has_run = true;
    /// Pause before each part but the first.
    milliseconds pause{0};
    /// Sent after the parts again and again, with the pause, until the peer closes the connection; "" sends nothing.
    std::string repeated = {};
    /// Time before a reset. By default long enough for the bytes before it, which the peer would else never read.
    milliseconds reset_delay{20};

    bool operator==(const scripted_answer&) const = default;
};

/// Returns the answer to a call; called on the engine's executor.
using answer_script = std::function<scripted_answer(const engine_call&)>;

/// Simulates an engine or a plain endpoint of the platform. Runs on one executor; the public functions may be
/// called from any thread.
class standin_engine
{
public:
    /// `phase` is "prefill", "decode" or "" for a plain endpoint.
    standin_engine(const boost::asio::any_io_executor& executor, std::string id, std::string service,
                   std::string phase);

    /// Returns the entry that the engine writes into the store.
    std::string entry(const std::string& state = "ready") const;

    /// Sets the address in the entry, such as a proxy's, in place of the engine's own.
    void set_advertised_address(const std::string& address) { this->advertised_address = address; }

    std::string key() const { return "servers/" + this->id; }
    std::string address() const { return this->server.address(); }

    /// Sets the fault; it lasts until it is changed.
    void set_fault(engine_fault fault);
    void set_work_time(milliseconds time);

    /// Makes streams on prompts with this part break before their first event, as if the engine crashed.
    void set_deadly_part(const std::string& part);
    /// Makes the engine crash as it begins to run such a request.
    void set_deadly_request(std::function<bool(const http::request&)> is_deadly);
    /// Lets crashes leave the open connections open, without another byte, in place of resetting them.
    void set_half_open_crashes();
    /// Lets each crash end after this time: a new process then has the engine's address and id, and registers never.
    void set_away_time(milliseconds time);
    /// Resets all connections and refuses new ones from now on.
    void crash();
    bool has_crashed() const { return this->is_crashed; }
    /// Answers calls for the engine's service as the script says, in place of the usual answers and faults.
    void set_script(answer_script script);
    /// Answers orders and releases as the script says.
    void set_control_script(answer_script script);
    /// Answers calls when only their heads have arrived; their bodies are never read.
    void set_answering_early(bool early) { this->server.set_answering_early(early); }
    /// Sets the kernel's receive buffer of connections that are accepted from now on.
    void set_receive_buffer(int bytes) { this->server.set_receive_buffer(bytes); }
    /// Makes all answers from now on say that the engine is leaving.
    void set_leaving(bool leaving);

    /// Returns whether answers say that the engine is leaving.
    bool says_it_is_leaving() const;

    /// Refuses all calls from now on as not run, with this value as the time to stay away; nothing ends that.
    void set_pause(std::optional<std::string> retry_after);

    /// Starts a new incarnation, with the same id and address, that is neither leaving nor refuses calls.
    void restart();

    /// Returns all calls received so far.
    std::vector<engine_call> calls() const;

    /// Returns the number of calls in progress.
    int active_count() const { return this->active_calls; }

    /// Returns the number of calls that have run.
    int runs() const;

    /// Stops accepting connections, as if the engine had exited.
    void stop() { this->server.stop(); }

    /// Number of events in a complete stream.
    static constexpr int stream_events = 8;

    /// How long a sound engine may fall silent on the platform: a second or so.
    static constexpr milliseconds stream_pause{1'600};

private:
    boost::asio::awaitable<bool> handle_request(const http::request& request, raw_connection& caller);
    static boost::asio::awaitable<void> send_without_end(raw_connection& caller, std::string bytes, milliseconds pause);
    boost::asio::awaitable<bool> send_scripted_answer(std::size_t call, raw_connection& caller, answer_script script);
    /// Answers an order or a release, which carry no id.
    boost::asio::awaitable<bool> send_control_response(std::size_t call, raw_connection& caller, unsigned status);
    boost::asio::awaitable<bool> send_plain_response(std::size_t call, raw_connection& caller);
    boost::asio::awaitable<bool> send_prefill_response(std::size_t call, raw_connection& caller);
    boost::asio::awaitable<bool> send_stream(std::size_t call, raw_connection& caller);
    boost::asio::awaitable<bool> simulate_work(std::size_t call, raw_connection& caller);
    http::headers response_headers(std::size_t call) const;
    std::size_t record_call(const http::request& request, const std::string& kind, const raw_connection& caller);
    void mark_run(std::size_t call);
    void mark_pause(std::size_t call, const std::string& retry_after);
    void mark_caller_disconnected(std::size_t call);
    engine_fault current_fault() const;
    bool is_deadly(const http::request& request) const;
    bool crashes_on(const http::request& request) const;
    void crash_now();
    boost::asio::awaitable<void> come_back_after(milliseconds time);
    answer_script current_script() const;
    std::optional<std::string> current_pause() const;

    std::string id;
    std::string service;
    std::string phase;
    std::string advertised_address;
    mutable std::mutex mutex;
    engine_fault fault = engine_fault::none;
    answer_script script;
    answer_script control_script;
    milliseconds work_time{5};
    std::string deadly_part;
    std::function<bool(const http::request&)> deadly_request;
    std::optional<milliseconds> away_time;
    std::atomic<bool> has_half_open_crashes = false;
    std::atomic<bool> is_crashed = false;
    bool is_leaving = false;
    std::optional<std::string> pause;
    std::int64_t started_ms = 1'700'000'000'000;
    std::vector<engine_call> all_calls;
    std::atomic<int> active_calls = 0;
    raw_server server;
};

/// Returns the headers of an engine's own answer to a call.
http::headers engine_headers(const engine_call& call);

/// Returns one event of a request's stream.
std::string stream_event(const std::string& request_id, int number);

/// Returns the complete stream for a request; it is the same on every engine.
std::string whole_stream(const std::string& request_id);

} // namespace radishstep::testing
