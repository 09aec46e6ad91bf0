#include "forward/forward_context.h"

#include <utility>

#include "base/log.h"

namespace radishstep::forward {

forward_context::forward_context(const boost::asio::any_io_executor& executor, const forward_dialect& dialect,
                                 std::string zone)
    : executor(executor), dialect(dialect), http_client(executor),
      chooser(this->directory, this->load, this->health, std::move(zone)), random(std::random_device{}())
{
}

double forward_context::draw()
{
    return std::uniform_real_distribution<double>{0, 1}(this->random);
}

void forward_context::notify_load_change(bool is_urgent) const
{
    if (this->on_load_change)
        this->on_load_change(is_urgent);
}

void forward_context::record_call_failure(const std::string& incarnation, error_kind kind)
{
    if (kind == error_kind::connection_refused) {
        this->mark_down(incarnation);
        return;
    }
    const call_outcome outcome = may_have_arrived(kind) ? call_outcome::lost : call_outcome::unreachable;
    this->health.record_outcome(incarnation, outcome, runtime_clock::now());
}

void forward_context::mark_down(const std::string& incarnation)
{
    if (this->health.record_down(incarnation, runtime_clock::now()))
        log_state("endpoint_down", {{"endpoint", incarnation}, {"seen_by", "this host"}});
    this->notify_load_change(true);
}

std::vector<queue_head> forward_context::queue_heads() const
{
    std::vector<queue_head> heads;
    for (const auto& [service, queue] : this->request_queues) {
        if (const auto first = queue.front())
            heads.push_back({service, first->rank});
    }
    return heads;
}

load_guard::load_guard(forward_context& context, std::string incarnation, endpoint_load work)
    : context(context), incarnation(std::move(incarnation)), work(work)
{
    this->context.load.add_work(this->incarnation, this->work);
    this->context.notify_load_change(this->work.tokens > 0);
}

load_guard::~load_guard()
{
    this->end();
}

void load_guard::add_tokens(std::int64_t tokens)
{
    // Growth alone triggers no load report; the next report includes it.
    this->work.tokens += tokens;
    this->context.load.add_tokens(this->incarnation, tokens);
}

void load_guard::end()
{
    if (std::exchange(this->has_ended, true))
        return;
    this->context.load.remove_work(this->incarnation, this->work);
    this->context.notify_load_change(this->work.tokens > 0);
}

} // namespace radishstep::forward
