#pragma once

#include <deque>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/asio/any_io_executor.hpp>
#include <boost/asio/awaitable.hpp>
#include <nlohmann/json_fwd.hpp>

#include "base/runtime_clock.h"
#include "http/client.h"
#include "http/server.h"

namespace radishstep::standin {

/// The figures of a stand-in engine.
struct engine_options
{
    bool is_prefill = true;
    int slots = 1;
    std::chrono::microseconds prefill_token{100};
    std::chrono::microseconds decode_token{5'000};
    std::chrono::microseconds transfer_token{5};
    milliseconds evict_time{1'000};
    milliseconds load_lag{1'000};
    bool checks_fence = true;
    /// Where each job is written down before any work for it; survives the process.
    std::string seen_log;
};

/// An engine that reads prompts or writes answers, in real time but without a model. docs/ENDPOINTS.md
/// describes its protocol; POST /fault makes it slow, silent or dead.
class engine
{
public:
    engine(boost::asio::any_io_executor executor, engine_options options);

    boost::asio::awaitable<void> handle(const http::request& asked, http::reply& reply);

private:
    struct decode_job
    {
        std::string prompt;
        std::vector<std::string> tokens;
        int first = 0;
        int total = 0;
        bool running = true;
        bool cancelled = false;
        time_point ended_at;
    };
    struct prefill_result
    {
        std::string prompt;
        int tokens = 0;
        time_point expires_at;
    };

    boost::asio::awaitable<void> prefill(const http::request& asked, http::reply& reply);
    boost::asio::awaitable<void> export_result(const http::request& asked, http::reply& reply);
    boost::asio::awaitable<void> decode(const http::request& asked, http::reply& reply);
    boost::asio::awaitable<bool> import_result(std::string job, std::string source);
    boost::asio::awaitable<void> generate(std::shared_ptr<decode_job> job);
    boost::asio::awaitable<void> stream(std::shared_ptr<decode_job> job, int offset, http::reply& reply);
    http::response cancel(const http::request& asked);
    http::response status();
    http::response late_load();
    http::response take_order(const http::request& asked);
    http::response set_fault(const http::request& asked);
    void crash_if_poisoned(const std::string& prompt) const;
    void note_seen(const std::string& job) const;
    void drop_expired();
    int slow_factor() const;

    boost::asio::any_io_executor executor;
    engine_options options;
    http::client calls;
    std::string incarnation;
    time_point started;
    std::map<std::string, prefill_result> results;
    std::map<std::string, std::shared_ptr<decode_job>> jobs;
    std::set<std::string> reading;
    std::set<std::string> cancelled;
    std::deque<std::pair<time_point, int>> load_history;
    std::map<std::string, int> cached_prefixes;
    int waiting = 0;
    int running = 0;
    std::int64_t prefill_tokens = 0;
    std::int64_t wasted_prefill_tokens = 0;
    std::int64_t decode_tokens = 0;
    std::int64_t highest_fence = 0;
    std::int64_t late_orders = 0;
    int slowness = 1;
    time_point slow_until;
    bool leaving = false;
    bool stall_transfers = false;
    int garble_every = 0;
};

} // namespace radishstep::standin
