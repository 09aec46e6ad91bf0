#include "forward/forward_context.h"

#include <utility>

#include "base/log.h"
#include "base/metrics.h"

namespace radishstep::forward {

namespace {

void report_quarantine(const part_quarantine& quarantine)
{
    count("radishstep_forward_parts_quarantined_total");
    std::string combination;
    for (const std::string& part : quarantine.combination)
        combination += (combination.empty() ? "" : ",") + part;
    const auto remaining = std::chrono::duration_cast<std::chrono::seconds>(quarantine.until - runtime_clock::now());
    log_state("part_quarantined", {{"part", quarantine.part},
                                   {"combination", combination},
                                   {"crashes", std::to_string(quarantine.crashes)},
                                   {"seen_by", quarantine.seen_by},
                                   {"seconds", std::to_string(remaining.count())}});
}

} // namespace

forward_context::forward_context(const boost::asio::any_io_executor& executor, const forward_dialect& dialect,
                                 std::string zone)
    : executor(executor), dialect(dialect), http_client(executor),
      chooser(this->directory, this->load, this->health, std::move(zone)), random(std::random_device{}())
{
    this->suspects.on_quarantine = report_quarantine;
    this->suspects.on_release = [](const part_quarantine& quarantine) {
        log_state("part_released", {{"part", quarantine.part}, {"crashes", std::to_string(quarantine.crashes)}});
    };
    this->suspects.on_news = [this] { this->notify_load_change(true); };
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

void forward_context::record_lost_request(const endpoint& target, const std::vector<std::string>& prompt_parts)
{
    if (!this->directory.accepts_work(target))
        return;
    count("radishstep_forward_lost_before_first_event_total");
    this->suspects.record_lost_request(target.incarnation(), prompt_parts, runtime_clock::now());
}

void forward_context::mark_down(const std::string& incarnation)
{
    this->suspects.record_endpoint_down(incarnation, runtime_clock::now());
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
