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

/// Drives one model request: feeds events to the request state machine and performs its effects at the
/// broker, the endpoints and the caller.
class model_request : public std::enable_shared_from_this<model_request>
{
public:
    model_request(traffic_context& shared, completion_request completion, const client_config& client,
                  const pool_config& pool);

    /// Serves the request; returns when the caller has received its answer or refusal, or has disconnected.
    boost::asio::awaitable<void> run(http::reply& reply);

private:
    /// Measurements of one attempt, which are reported when its permit is released.
    struct attempt_timing
    {
        time_point prefill_started_at;
        runtime_clock::duration prefill_time{};
        time_point first_token_at;
        time_point last_token_at;
        int tokens = 0;
    };

    void apply_event(const request_event::any& event);
    void perform(const request_effect::request_permit& effect);
    void perform(const request_effect::release_permit& effect);
    void perform(const request_effect::report_prefilled& effect);
    void perform(const request_effect::start_prefill& effect);
    void perform(const request_effect::start_decode& effect);
    void perform(const request_effect::cancel_endpoint_job& effect);
    void perform(const request_effect::relay_token& effect);
    void perform(const request_effect::finish_answer& effect);
    void perform(const request_effect::refuse_request& effect);

    boost::asio::awaitable<void> run_prefill(int attempt, std::string endpoint);
    boost::asio::awaitable<void> run_decode(request_effect::start_decode effect);
    boost::asio::awaitable<void> read_stream(int attempt, std::unique_ptr<http::body_stream> stream,
                                             const std::string& endpoint, time_point started);
    boost::asio::awaitable<void> cancel_job(int attempt, std::string endpoint);
    boost::asio::awaitable<call_failure> classify_failure(error failure, std::string endpoint, time_point started);
    boost::asio::awaitable<void> wait_for_deadline();
    boost::asio::awaitable<void> write_answer(http::reply& reply);
    boost::asio::awaitable<bool> send_head(http::reply& reply);
    boost::asio::awaitable<void> write_end(http::reply& reply);
    boost::asio::awaitable<void> wait_for_output_space();
    void on_permit_reply(const to_traffic::any& message);
    void record_token(int attempt);
    void report_token_time(const attempt_timing& timing);
    void count_outcome(const std::string& outcome);
    http::call_options make_call_options(int attempt);
    void on_stream_event(int attempt, const http::server_sent_event& event);
    http::request make_prefill_call(int attempt) const;
    http::request make_decode_call(const request_effect::start_decode& effect) const;
    http::request make_cancel_call(int attempt) const;
    client_priority attempt_priority(int attempt) const;
    runtime_clock::duration patience_for(client_priority priority) const;
    /// Returns how many tokens a prefill engine has to process: the prompt and the tokens already answered.
    int prefill_tokens() const;
    std::string attempt_job(int attempt) const;

    traffic_context& shared;
    completion_request completion;
    client_config client;
    pool_config pool;
    std::string request_id;
    std::uint64_t fingerprint;
    time_point arrived_at;
    request_state state;
    std::map<int, attempt_timing> attempts;
    std::map<int, std::shared_ptr<http::call_abort>> running_calls;
    std::string pending_output;
    int output_tokens = 0;
    timer output_added;
    timer output_written;
    timer deadline_timer;
    completion_identity identity;
    std::unique_ptr<answer_event_formatter> formatter;
    std::string answer_text;
    error refusal;
    runtime_clock::duration retry_after{};
    time_point last_token_time_report_at;
    int tokens_since_report = 0;
    bool may_have_run = false;
    bool is_refused = false;
    bool is_finished = false;
    bool is_head_sent = false;
};

} // namespace radishstep
