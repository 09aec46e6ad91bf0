#include "forward/plain_forwarder.h"

#include <utility>

#include "base/log.h"
#include "forward/capacity_wait.h"
#include "forward/request_rules.h"

namespace radishstep::forward {

namespace asio = boost::asio;

plain_forwarder::plain_forwarder(forward_context& context, active_request active) : context(context), active(active) {}

asio::awaitable<request_outcome> plain_forwarder::run()
{
    while (true) {
        this->failure = this->reason_to_stop();
        if (this->failure)
            break;
        const auto missing = co_await this->find_endpoint();
        if (missing) {
            this->failure = to_error(*missing);
            break;
        }
        if (this->arrivals > 0 && !this->context.budget.try_spend(this->active.service, runtime_clock::now())) {
            this->failure = error{error_kind::overloaded, "the retry budget is spent", "retry after the given time"};
            break;
        }
        const next_step next = co_await this->send_to(this->chosen);
        if (next == next_step::done)
            break;
    }
    co_await this->finish();
    co_return this->outcome;
}

asio::awaitable<std::optional<selection_failure>> plain_forwarder::find_endpoint()
{
    endpoint_selector find = [this](const selection_context& search) -> std::optional<selection_failure> {
        auto found = this->context.chooser.choose_plain_endpoint(this->active.service, search, runtime_clock::now());
        if (!found)
            return found.error();
        this->chosen = std::move(*found);
        return std::nullopt;
    };
    const wait_deadlines bounds = compute_wait_deadlines(this->active, serving_time, longest_wait_objectives);
    co_return co_await wait_for_capacity(this->context, this->active, this->tried, bounds, std::move(find));
}

asio::awaitable<plain_forwarder::next_step> plain_forwarder::send_to(endpoint at)
{
    endpoint_load work;
    work.calls = 1;
    const std::string incarnation = at.incarnation();
    const load_guard counted{this->context, incarnation, work};
    http::call_options options;
    options.connect_timeout = std::min(connect_time, this->active.canceller.time_left());
    options.idle_timeout = this->active.canceller.time_left();
    options.fresh_connection = !this->active.matched_route.is_repeatable;
    options.abort = this->active.canceller.next_call();
    options.is_matching_response = [this](const http::response& head) {
        return this->context.dialect.classify_answer(this->active.request, head) != answer_kind::wrong_request;
    };
    this->tried.insert(incarnation);
    ++this->outcome.sends;
    this->outcome.endpoint = at.id;
    const time_point sent = runtime_clock::now();
    http::request call = this->context.dialect.make_plain_call(this->active.request, at, this->active.canceller.time_left());
    auto got = co_await this->context.calls.call(at.address, std::move(call), std::move(options));
    if (got)
        this->log_call(at, sent, std::to_string(got->status), got->status >= min_failure_status);
    else
        this->log_call(at, sent, describe(got.error()), true);
    if (!got)
        co_return this->take_failure(at, got.error());
    co_return this->take_answer(at, std::move(*got));
}

void plain_forwarder::log_call(const endpoint& at, time_point sent, const std::string& ended, bool is_failure) const
{
    if (!is_failure && !is_sampled(this->active.request.id))
        return;
    const auto took = std::chrono::duration_cast<milliseconds>(runtime_clock::now() - sent);
    log_decision("call_ended", {{"request", this->active.request.id},
                                {"endpoint", at.id},
                                {"ms", std::to_string(took.count())},
                                {"ended", ended}});
}

plain_forwarder::next_step plain_forwarder::take_failure(const endpoint& at, const error& reason)
{
    const bool was_sent = may_have_arrived(reason.kind);
    if (!was_sent && this->arrivals > 0)
        this->context.budget.refund(this->active.service);
    if (was_sent) {
        ++this->arrivals;
        ++this->runs;
    }
    if (this->active.canceller.is_caller_disconnected())
        return next_step::done;
    this->context.note_failure(at.incarnation(), reason.kind);
    return next_step::try_again;
}

plain_forwarder::next_step plain_forwarder::take_answer(const endpoint& at, http::response got)
{
    const time_point now = runtime_clock::now();
    const std::string incarnation = at.incarnation();
    ++this->arrivals;
    switch (this->context.dialect.classify_answer(this->active.request, got)) {
    case answer_kind::not_executed:
        this->context.health.record_outcome(incarnation, call_outcome::rejected, now);
        return next_step::try_again;
    case answer_kind::wrong_endpoint:
        this->context.record_down(incarnation);
        return next_step::try_again;
    case answer_kind::wrong_request:
    case answer_kind::unverified:
        ++this->runs;
        this->context.health.record_outcome(incarnation, call_outcome::failed, now);
        return next_step::try_again;
    case answer_kind::executed:
        break;
    }
    ++this->runs;
    const bool is_good = got.status < min_failure_status;
    this->context.health.record_outcome(incarnation, is_good ? call_outcome::answered : call_outcome::failed, now);
    this->answer = std::move(got);
    return is_good || !this->active.matched_route.is_repeatable ? next_step::done : next_step::try_again;
}

std::optional<error> plain_forwarder::reason_to_stop()
{
    if (this->active.canceller.is_caller_disconnected())
        return error{error_kind::caller_gone, "the caller has left", ""};
    if (this->runs > 0 && !this->active.matched_route.is_repeatable)
        return error{error_kind::outcome_unknown, "the endpoint did not answer and may have run the request", ""};
    if (this->runs >= this->active.matched_route.max_endpoints)
        return error{error_kind::endpoint_failed, "no endpoint gave a whole answer", ""};
    if (this->active.canceller.time_left() < min_forward_time)
        return error{this->runs > 0 ? error_kind::deadline_exceeded : error_kind::overloaded,
                     "the time for the request is over", "allow more time"};
    if (this->outcome.sends >= max_sends)
        return error{this->runs > 0 ? error_kind::endpoint_failed : error_kind::overloaded,
                     "several endpoints could not take the request", "retry after the given time"};
    return std::nullopt;
}

asio::awaitable<void> plain_forwarder::finish()
{
    if (this->active.canceller.is_caller_disconnected()) {
        this->outcome.cause = "caller_gone";
        co_return;
    }
    this->outcome.first_after = std::chrono::duration_cast<milliseconds>(runtime_clock::now() - this->active.arrived_at);
    if (this->answer) {
        http::response got = std::move(*this->answer);
        http::response head = this->context.dialect.make_caller_head(got);
        head.body = std::move(got.body);
        this->outcome.status = head.status;
        co_await this->active.caller.send(std::move(head));
        co_return;
    }
    const error reason = error_for_caller(*this->failure, this->runs > 0);
    const auto retry_after = retry_after_delay(reason.kind, this->runs > 0, this->active.canceller.time_left());
    http::response refusal = this->context.dialect.refusal(this->active.request.id, reason, retry_after);
    this->outcome.status = refusal.status;
    this->outcome.cause = reason.message;
    co_await this->active.caller.send(std::move(refusal));
}

} // namespace radishstep::forward
