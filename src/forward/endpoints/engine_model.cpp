#include "forward/endpoints/engine_model.h"

#include <algorithm>
#include <cmath>
#include <cstdio>

namespace radishstep::forward {

namespace detail {

template <std::size_t Size>
void median_window<Size>::add(double value)
{
    this->values[this->next] = value;
    this->next = (this->next + 1) % Size;
    this->used = std::min(this->used + 1, Size);
    this->current = this->middle(this->used, 0);
}

template <std::size_t Size>
double median_window<Size>::median(double assumed, std::size_t min_count) const
{
    return this->used < min_count ? this->middle(min_count, assumed) : this->current;
}

template <std::size_t Size>
double median_window<Size>::middle(std::size_t count, double assumed) const
{
    std::array<double, Size> sorted = this->values;
    const auto end = sorted.begin() + static_cast<std::ptrdiff_t>(count);
    std::fill(sorted.begin() + static_cast<std::ptrdiff_t>(this->used), end, assumed);
    const auto found = sorted.begin() + static_cast<std::ptrdiff_t>(count / 2);
    std::nth_element(sorted.begin(), found, end);
    return *found;
}

} // namespace detail

namespace {

/// Weight of the newest call in the momentary slowness.
constexpr double latest_slowness_weight = 0.5;

double noise_factor(work_kind kind)
{
    switch (kind) {
    case work_kind::prefill:
        return engine_model::prefill_noise_factor;
    case work_kind::decode:
        return engine_model::decode_noise_factor;
    case work_kind::plain:
        break;
    }
    return engine_model::plain_noise_factor;
}

double assumed_pace(work_kind kind)
{
    return kind == work_kind::decode ? engine_model::assumed_decode_ms_per_token : 1;
}

} // namespace

void engine_model::record(const std::string& service, const pace_sample& sample, time_point now)
{
    this->add_own_sample(sample, this->usual_pace(service, sample.kind), now);
    this->usual_windows[service][static_cast<std::size_t>(sample.kind)].add(
        std::clamp(sample.pace, min_pace, max_pace));
    this->report(sample);
}

void engine_model::record_call(const std::string& route, const std::string& incarnation, double duration_ms,
                               time_point now)
{
    usual_window& times = this->call_times[route];
    times.add(std::max(duration_ms, 1.0));
    if (times.count() < min_samples)
        return;
    const pace_sample sample{incarnation, work_kind::plain, duration_ms / times.median(duration_ms, 1)};
    this->add_own_sample(sample, 1, now);
    this->report(sample);
}

void engine_model::report(const pace_sample& sample)
{
    if (this->unreported.size() == max_reported_samples)
        this->unreported.erase(this->unreported.begin());
    this->unreported.push_back(sample);
}

void engine_model::record_peer_sample(const pace_sample& sample, time_point now)
{
    this->touch(sample, now).samples.add(std::clamp(sample.pace, min_pace, max_pace));
}

void engine_model::add_own_sample(const pace_sample& sample, double usual, time_point now)
{
    const double pace = std::clamp(sample.pace, min_pace, max_pace);
    const double previous_slowness = this->momentary_slowness(sample.incarnation, sample.kind, now);
    kind_record& work = this->touch(sample, now);
    const double slowness = pace / work.samples.median(usual, min_samples);
    work.samples.add(pace);
    work.last_slowness =
        std::max(1.0, previous_slowness * (1 - latest_slowness_weight) + slowness * latest_slowness_weight);
    work.slowness_at = now;
}

engine_model::kind_record& engine_model::touch(const pace_sample& sample, time_point now)
{
    endpoint_record& record = this->records[sample.incarnation];
    record.last_used = now;
    return record.kinds[static_cast<std::size_t>(sample.kind)];
}

std::vector<pace_sample> engine_model::take_unreported()
{
    std::vector<pace_sample> taken;
    taken.swap(this->unreported);
    return taken;
}

double engine_model::usual_pace(const std::string& service, work_kind kind) const
{
    const auto found = this->usual_windows.find(service);
    if (found == this->usual_windows.end())
        return assumed_pace(kind);
    return found->second[static_cast<std::size_t>(kind)].median(assumed_pace(kind), min_samples);
}

double engine_model::relative_pace(const std::string& service, const std::string& incarnation, work_kind kind) const
{
    const kind_record* record = this->find(incarnation, kind);
    if (record == nullptr)
        return 1;
    const double usual = this->usual_pace(service, kind);
    const double relative = record->samples.median(usual, min_samples) / usual;
    const double noise = noise_factor(kind);
    return relative > noise || relative < 1 / noise ? relative : 1;
}

double engine_model::pace(const std::string& service, const std::string& incarnation, work_kind kind,
                          time_point now) const
{
    return this->usual_pace(service, kind) * this->relative_pace(service, incarnation, kind) *
           this->momentary_slowness(incarnation, kind, now);
}

double engine_model::momentary_slowness(const std::string& incarnation, work_kind kind, time_point now) const
{
    const kind_record* record = this->find(incarnation, kind);
    if (record == nullptr)
        return 1;
    const double age_ms = to_ms(now - record->slowness_at);
    return 1 + (record->last_slowness - 1) * std::exp(-age_ms / static_cast<double>(slowness_decay_time.count()));
}

std::size_t engine_model::sample_count(const std::string& incarnation, work_kind kind) const
{
    const kind_record* record = this->find(incarnation, kind);
    return record == nullptr ? 0 : record->samples.count();
}

const engine_model::kind_record* engine_model::find(const std::string& incarnation, work_kind kind) const
{
    const auto found = this->records.find(incarnation);
    return found == this->records.end() ? nullptr : &found->second.kinds[static_cast<std::size_t>(kind)];
}

std::string engine_model::describe(const std::string& service, const std::string& incarnation, work_kind kind) const
{
    std::array<char, 64> text{};
    std::snprintf(text.data(), text.size(), "%.2f of %.2f usual, %zu samples",
                  this->relative_pace(service, incarnation, kind), this->usual_pace(service, kind),
                  this->sample_count(incarnation, kind));
    return text.data();
}

void engine_model::expire(time_point now)
{
    std::erase_if(this->records, [now](const auto& entry) { return entry.second.last_used + record_lifetime < now; });
}

} // namespace radishstep::forward
