#include "forward/plain_forward.h"

#include <utility>

#include "base/log.h"
#include "forward/place_wait.h"
#include "forward/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

plain_forward::plain_forward(forward_context& context, request_in_hand hand) : context(context), hand(hand) {}

asio::awaitable<request_outcome> plain_forward::run()
{
    while (true) {
        this->stop_reason = this->reason_to_stop();
        if (this->stop_reason)
            break;
        const auto no_endpoint_cause = co_await this->wait_for_endpoint();
        if (no_endpoint_cause) {
            this->stop_reason = reason_of(*no_endpoint_cause);
            break;
        }
        if (this->arrivals > 0 && !this->context.budget.take(this->hand.service, runtime_clock::now())) {
            this->stop_reason =
                error{error_kind::overloaded, "the retry budget is spent", "retry after the given time"};
            break;
        }
        const next_step next = co_await this->send_to(this->chosen_endpoint);
        if (next == next_step::done)
            break;
    }
    co_await this->finish();
    co_return this->outcome;
}

asio::awaitable<std::optional<no_place>> plain_forward::wait_for_endpoint()
{
    place_finder find = [this](const place_search& search) -> std::optional<no_place> {
        auto found = this->context.chooser.choose_plain(this->hand.service, search, runtime_clock::now());
        if (!found)
            return found.error();
        this->chosen_endpoint = std::move(*found);
        return std::nullopt;
    };
    const wait_bounds bounds = bounds_of(this->hand, typical_call_time, max_wait_objectives);
    co_return co_await wait_for_place(this->context, this->hand, this->tried_endpoints, bounds, std::move(find));
}

asio::awaitable<plain_forward::next_step> plain_forward::send_to(endpoint target)
{
    endpoint_load work;
    work.calls = 1;
    const std::string incarnation = target.incarnation();
    const load_guard guard{this->context, incarnation, work};
    http::call_options options;
    options.connect_time = std::min(connect_time, this->hand.watch.left());
    options.silence_time = this->hand.watch.left();
    options.fresh_connection = !this->hand.way.is_repeatable;
    options.abort = this->hand.watch.begin_call();
    options.is_ours = [this](const http::response& head) {
        return this->context.dialect.judge(this->hand.asked, head) != answer_kind::foreign;
    };
    this->tried_endpoints.insert(incarnation);
    ++this->outcome.send_count;
    this->outcome.endpoint = target.id;
    const time_point sent_at = runtime_clock::now();
    http::request call = this->context.dialect.whole_call(this->hand.asked, target, this->hand.watch.left());
    auto answer = co_await this->context.calls.call(target.address, std::move(call), std::move(options));
    if (answer)
        this->log_call(target, sent_at, std::to_string(answer->status), answer->status >= first_failure_status);
    else
        this->log_call(target, sent_at, describe(answer.error()), true);
    if (!answer)
        co_return this->handle_failure(target, answer.error());
    co_return this->handle_answer(target, std::move(*answer));
}

void plain_forward::log_call(const endpoint& target, time_point sent_at, const std::string& call_result,
                             bool is_failure) const
{
    if (!is_failure && !is_sampled(this->hand.asked.id))
        return;
    const auto duration = std::chrono::duration_cast<milliseconds>(runtime_clock::now() - sent_at);
    log_decision("call_ended", {{"request", this->hand.asked.id},
                                {"endpoint", target.id},
                                {"ms", std::to_string(duration.count())},
                                {"ended", call_result}});
}

plain_forward::next_step plain_forward::handle_failure(const endpoint& target, const error& reason)
{
    const bool may_have_run = may_have_arrived(reason.kind);
    if (!may_have_run && this->arrivals > 0)
        this->context.budget.give_back(this->hand.service);
    if (may_have_run) {
        ++this->arrivals;
        ++this->run_count;
    }
    if (this->hand.watch.is_caller_gone())
        return next_step::done;
    this->context.record_call_failure(target.incarnation(), reason.kind);
    return next_step::retry;
}

plain_forward::next_step plain_forward::handle_answer(const endpoint& target, http::response answer)
{
    const time_point now = runtime_clock::now();
    const std::string incarnation = target.incarnation();
    ++this->arrivals;
    switch (this->context.dialect.judge(this->hand.asked, answer)) {
    case answer_kind::not_run:
        this->context.health.record(incarnation, call_outcome::rejected, now);
        return next_step::retry;
    case answer_kind::wrong_endpoint:
        this->context.mark_down(incarnation);
        return next_step::retry;
    case answer_kind::foreign:
    case answer_kind::broken:
        ++this->run_count;
        this->context.health.record(incarnation, call_outcome::failed, now);
        return next_step::retry;
    case answer_kind::own:
        break;
    }
    ++this->run_count;
    const bool is_success = answer.status < first_failure_status;
    this->context.health.record(incarnation, is_success ? call_outcome::answered : call_outcome::failed, now);
    this->last_answer = std::move(answer);
    return is_success || !this->hand.way.is_repeatable ? next_step::done : next_step::retry;
}

std::optional<error> plain_forward::reason_to_stop()
{
    if (this->hand.watch.is_caller_gone())
        return error{error_kind::caller_gone, "the caller disconnected", ""};
    if (this->run_count > 0 && !this->hand.way.is_repeatable)
        return error{error_kind::outcome_unknown, "the endpoint did not answer and may have run the request", ""};
    if (this->run_count >= this->hand.way.max_endpoints)
        return error{error_kind::endpoint_failed, "no endpoint answered successfully", ""};
    if (this->hand.watch.left() < least_useful_time)
        return error{this->run_count > 0 ? error_kind::deadline_exceeded : error_kind::overloaded,
                     "too little time is left before the request's deadline", "allow more time"};
    if (this->outcome.send_count >= most_sends)
        return error{this->run_count > 0 ? error_kind::endpoint_failed : error_kind::overloaded,
                     "several endpoints could not take the request", "retry after the given time"};
    return std::nullopt;
}

asio::awaitable<void> plain_forward::finish()
{
    if (this->hand.watch.is_caller_gone()) {
        this->outcome.cause = "caller_gone";
        co_return;
    }
    this->outcome.time_to_first_byte =
        std::chrono::duration_cast<milliseconds>(runtime_clock::now() - this->hand.arrived);
    if (this->last_answer) {
        http::response answer = std::move(*this->last_answer);
        http::response response = this->context.dialect.caller_head(answer);
        response.body = std::move(answer.body);
        this->outcome.status = response.status;
        co_await this->hand.caller.send(std::move(response));
        co_return;
    }
    const error reason = truthful_reason(*this->stop_reason, this->run_count > 0);
    const auto retry_after = retry_delay(reason.kind, this->run_count > 0, this->hand.watch.left());
    http::response response = this->context.dialect.refusal(this->hand.asked.id, reason, retry_after);
    this->outcome.status = response.status;
    this->outcome.cause = reason.message;
    co_await this->hand.caller.send(std::move(response));
}

} // namespace radishstep::forward
