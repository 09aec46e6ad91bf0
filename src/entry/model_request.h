#pragma once

#include <deque>
#include <map>
#include <memory>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/runtime_clock.h"
#include "config/site_config.h"
#include "entry/completion_api.h"
#include "entry/control_messages.h"
#include "http/client.h"
#include "http/event_stream.h"
#include "http/server.h"
#include "routing/request_machine.h"

namespace radishstep {

struct traffic_context;

/// Drives one model request: feeds events to the request machine and carries out its effects at the
/// broker, the endpoints and the caller.
class model_request : public std::enable_shared_from_this<model_request>
{
public:
    model_request(traffic_context& shared, completion_request asked, const client_config& client,
                  const pool_config& pool);

    /// Serves the request; returns when the caller has its answer or its refusal, or is gone.
    boost::asio::awaitable<void> run(http::reply& reply);

private:
    /// What was seen of one attempt, for its release.
    struct attempt_times
    {
        time_point prefill_started;
        runtime_clock::duration prefill_time{};
        time_point first_token;
        time_point last_token;
        int tokens = 0;
    };

    void take(const request_event::any& event);
    void perform(const request_effect::request_permit& effect);
    void perform(const request_effect::release_permit& effect);
    void perform(const request_effect::report_prefilled& effect);
    void perform(const request_effect::start_prefill& effect);
    void perform(const request_effect::start_decode& effect);
    void perform(const request_effect::cancel_endpoint_job& effect);
    void perform(const request_effect::relay_token& effect);
    void perform(const request_effect::finish_answer& effect);
    void perform(const request_effect::refuse_request& effect);

    boost::asio::awaitable<void> prefill(int attempt, std::string endpoint);
    boost::asio::awaitable<void> decode(request_effect::start_decode order);
    boost::asio::awaitable<void> read_stream(int attempt, std::unique_ptr<http::body_stream> stream,
                                             const std::string& endpoint, time_point started);
    boost::asio::awaitable<void> cancel(int attempt, std::string endpoint);
    boost::asio::awaitable<call_failure> classify(error failure, std::string endpoint, time_point started);
    boost::asio::awaitable<void> watch_deadline();
    boost::asio::awaitable<void> write_answer(http::reply& reply);
    boost::asio::awaitable<bool> send_head(http::reply& reply);
    boost::asio::awaitable<void> write_end(http::reply& reply);
    boost::asio::awaitable<void> wait_for_room();
    void on_control(const to_traffic::any& message);
    void note_token(int attempt);
    void report_pace(const attempt_times& times);
    void count_outcome(const std::string& outcome);
    http::call_options stream_call(int attempt);
    void take_stream_event(int attempt, const http::server_sent_event& event);
    http::request prefill_order(int attempt) const;
    http::request decode_order(const request_effect::start_decode& order) const;
    http::request cancel_order(int attempt) const;
    client_priority priority_of(int attempt) const;
    runtime_clock::duration patience_of(client_priority priority) const;
    /// Returns how many tokens a prefill endpoint has to read.
    int wish_tokens() const;
    std::string job_of(int attempt) const;

    traffic_context& shared;
    completion_request asked;
    client_config client;
    pool_config pool;
    std::string name;
    std::uint64_t fingerprint;
    time_point arrived;
    request_state state;
    std::map<int, attempt_times> attempts;
    std::map<int, std::shared_ptr<http::call_abort>> calls;
    std::string outbox;
    int outbox_tokens = 0;
    timer outbox_filled;
    timer outbox_drained;
    timer deadline;
    completion_identity identity;
    std::unique_ptr<part_formatter> parts;
    std::string answer;
    error refusal;
    runtime_clock::duration retry_after{};
    time_point last_pace_report;
    int tokens_since_report = 0;
    bool may_have_run = false;
    bool refused = false;
    bool finished = false;
    bool head_sent = false;
};

} // namespace radishstep
