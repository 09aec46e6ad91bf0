#pragma once

#include <memory>
#include <optional>
#include <set>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include "forward/serving/engine_call.h"
#include "forward/serving/event_relay.h"
#include "forward/serving/plain_forwarder.h"

namespace radishstep::forward {

/// Forwards a streamed model request: a prefill engine processes the prompt, then a decode engine fetches the
/// prefill result and streams the answer. Capacity at the decode engine is reserved before the prefill starts.
class model_forwarder
{
public:
    /// Time from the reservation to the first event for a typical prompt, subtracted from the latency objective to get
    /// the time that the request may wait.
    static constexpr milliseconds typical_first_event_time{320};
    /// Longest time from the request's arrival for which it waits for capacity, as a multiple of the latency objective.
    /// Callers abandon a stream without events after
    /// about four objectives; one that is refused before that can retry.
    static constexpr double max_wait_factor = 3.2;

    model_forwarder(forward_context& context, active_request active);

    /// Returns once the caller has its whole stream or an error response, or has disconnected.
    boost::asio::awaitable<request_outcome> run();

private:
    /// done: run() ends the request. retry: run() tries again unless reason_to_stop() returns a reason.
    enum class next_step { done, retry };

    /// A prefill result that its engine keeps for the decode engine until it expires.
    struct prefilled_prompt
    {
        prefill_result result;
        std::string zone;
        time_point expires_at;
        endpoint engine;
    };

    /// The chosen engines, with the request's load counted at each.
    struct reservation
    {
        engine_choice engines;
        std::unique_ptr<load_guard> prefill_load;
        std::unique_ptr<load_guard> decode_load;
    };

    boost::asio::awaitable<tl::expected<reservation, error>> wait_for_reservation();
    tl::expected<engine_choice, selection_failure> find_engines(const selection_context& selection);
    reservation reserve(engine_choice engines);
    bool confirm_decode_engine(reservation& reserved);
    model_demand demand() const;
    std::int64_t tokens_per_event() const;
    milliseconds required_time() const;

    boost::asio::awaitable<next_step> serve_with(reservation& reserved);
    boost::asio::awaitable<bool> run_prefill(const endpoint& target);
    bool has_prefilled_prompt() const;
    void record_events(engine_call& call);
    void record_sound_answer(engine_call& call);
    void record_event_time();
    void record_pace(const endpoint& target, work_kind kind, double pace);
    void record_decode_pace(const engine_call& call);
    http::request make_decode_call(const endpoint& target) const;
    void log_call(std::string_view event, work_kind kind, const endpoint& target, time_point sent_at,
                  const http::response& answer) const;
    void log_call(std::string_view event, const endpoint& target, time_point sent_at, const error& reason) const;
    boost::asio::awaitable<next_step> run_decode(reservation& reserved);
    boost::asio::awaitable<next_step> follow(std::unique_ptr<engine_call> call);
    boost::asio::awaitable<std::optional<error>> read_head(engine_call& call);
    boost::asio::awaitable<next_step> relay_stream(std::unique_ptr<engine_call> call);
    bool is_torn(const http::response& head) const;
    boost::asio::awaitable<next_step> handle_plain_response(engine_call& call);
    next_step handle_failure(engine_call& call, const error& reason);
    void count_run(engine_call& call);
    void discount_run(engine_call& call);
    bool may_ask_another_engine(const engine_call& call) const;
    next_step leave_silent(std::unique_ptr<engine_call> call);
    void forget_rejections();
    bool may_await_silent_engine() const;
    bool has_silent_engine_resumed() const;
    bool must_return_to_silent_engine() const;
    boost::asio::awaitable<next_step> resume_silent_call();
    boost::asio::awaitable<next_step> stop_without_budget(reservation& reserved);
    bool may_continue_started_stream() const;
    bool has_used_up_sends() const;
    boost::asio::awaitable<void> pause_before_send();
    void end_prefill_use(engine_call& call);
    void release_prefill();
    bool try_spend_retry_budget(int delivered_calls);
    void record_delivery_or_refund(int& delivered_calls, bool is_delivered);
    bool is_quarantined() const;
    std::optional<error> reason_to_stop() const;
    boost::asio::awaitable<void> finish(const error& reason);

    forward_context& context;
    active_request active;
    suspect_trial trial;
    excluded_endpoints excluded_engines;
    /// Those of the excluded engines that were full.
    excluded_endpoints rejecting_engines;
    std::set<std::string> called_prefill_engines;
    event_relay relay;
    request_outcome outcome;
    std::optional<time_point> last_event_at;
    std::optional<prefilled_prompt> prefilled;
    /// The call of an engine that has fallen silent. It stays open while another engine is sought, since a sound engine
    /// may pause; it is closed when another engine runs the request.
    std::unique_ptr<engine_call> silent_call;
    bool has_started_response = false;
    /// An answer of some engine has shown that the request does not crash it.
    bool is_shown_sound = false;
    /// Decode engines that ran the request or may have run it.
    unsigned run_count = 0;
    int prefill_sends = 0;
    int decode_sends = 0;
    /// Calls that reached an engine or may have reached it.
    int delivered_prefill_calls = 0;
    int delivered_decode_calls = 0;
    milliseconds next_send_pause{0};
    /// Set when the retry budget allows no further call.
    std::optional<error> budget_error;
};

} // namespace radishstep::forward
