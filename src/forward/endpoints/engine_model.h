#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep::forward {

/// Work whose duration is learned for each endpoint.
enum class work_kind : std::uint8_t { prefill, decode, plain };

/// The observed duration of one piece of work, by unit of work: for `decode` in ms a token, for `prefill` as a multiple
/// of the duration assumed for its tokens, for `plain` as a multiple of what is usual on its route.
struct pace_sample
{
    std::string incarnation;
    work_kind kind = work_kind::prefill;
    double pace = 1;

    bool operator==(const pace_sample&) const = default;
};

namespace detail {

/// The newest values of a series and their median, which a minority of wrong values cannot move far.
template <std::size_t Size>
class median_window
{
public:
    /// Adds a value in place of the oldest.
    void add(double value);

    std::size_t count() const { return this->used; }

    /// Returns the median. With fewer than `min_count` values, the missing ones count as `assumed`.
    double median(double assumed, std::size_t min_count) const;

private:
    double middle(std::size_t count, double assumed) const;

    std::array<double, Size> values{};
    std::size_t used = 0;
    std::size_t next = 0;
    /// Median of the values, kept since selections read it far more often than values arrive.
    double current = 0;
};

} // namespace detail

/// Learns how long each endpoint takes for its work, from the calls of this host and samples of other hosts. What lasts
/// is the median of an endpoint's newest samples; a call that took longer than that slows the endpoint for seconds
/// only. An endpoint without enough samples counts as a usual one of its service. Keeps about 200 bytes for each
/// endpoint that was used within `record_lifetime`.
class engine_model
{
public:
    /// Newest samples that decide about an endpoint: three wrong ones do not.
    static constexpr std::size_t samples_per_endpoint = 7;
    /// With fewer samples, the missing ones count as usual, so that a single one decides nothing.
    static constexpr std::size_t min_samples = 3;
    /// Newest samples of this host from which the usual pace of a service is taken.
    static constexpr std::size_t samples_per_service = 31;
    /// Time constant of the exponential decay of momentary slowness, short because engines recover quickly.
    static constexpr milliseconds slowness_decay_time{800};
    static constexpr std::chrono::seconds record_lifetime{60};
    /// Most samples that one load report carries; the newest are kept.
    static constexpr std::size_t max_reported_samples = 2;
    /// Paces within this factor of the usual one count as usual. Batches of different sizes cause as much for a stream,
    /// prompts that other hosts have sent lately for a prefill, and requests of one route for a plain call.
    static constexpr double decode_noise_factor = 1.5;
    static constexpr double prefill_noise_factor = 2.0;
    static constexpr double plain_noise_factor = 1.6;
    /// Samples outside these bounds, such as of a peer that is broken, count as the bound.
    static constexpr double min_pace = 0.01;
    static constexpr double max_pace = 1'000;
    /// Decoding of one token, until the first sample.
    static constexpr double assumed_decode_ms_per_token = 3.7;

    /// Records a prefill or a stream of this host.
    void record(const std::string& service, const pace_sample& sample, time_point now);

    /// Records the duration of a plain call of this host on a route, whose calls are compared with each other only.
    void record_call(const std::string& route, const std::string& incarnation, double duration_ms, time_point now);

    /// Records a sample of another host. It does not count as momentary slowness: if all hosts left an engine at once,
    /// they would crowd another one together.
    void record_peer_sample(const pace_sample& sample, time_point now);

    /// Returns the newest samples of this host that no report has carried yet.
    std::vector<pace_sample> take_unreported();

    /// Returns the usual pace of a service's endpoints, as the median over this host's samples.
    double usual_pace(const std::string& service, work_kind kind) const;

    /// Returns an endpoint's lasting pace as a multiple of the usual one of its service; 1 within the noise.
    double relative_pace(const std::string& service, const std::string& incarnation, work_kind kind) const;

    /// Returns the pace to be expected of an endpoint now.
    double pace(const std::string& service, const std::string& incarnation, work_kind kind, time_point now) const;

    /// Returns by which factor the endpoint is slower at this moment than it usually is, at least 1.
    double momentary_slowness(const std::string& incarnation, work_kind kind, time_point now) const;

    /// Returns how many samples of the endpoint are known, up to `samples_per_endpoint`.
    std::size_t sample_count(const std::string& incarnation, work_kind kind) const;

    /// Returns the relative pace, the usual one and the number of samples, for log lines.
    std::string describe(const std::string& service, const std::string& incarnation, work_kind kind) const;

    /// Drops the records of endpoints without a sample for `record_lifetime`.
    void expire(time_point now);

private:
    static constexpr std::size_t kind_count = 3;

    struct kind_record
    {
        detail::median_window<samples_per_endpoint> samples;
        double last_slowness = 1;
        time_point slowness_at;
    };

    struct endpoint_record
    {
        std::array<kind_record, kind_count> kinds;
        time_point last_used;
    };

    using usual_window = detail::median_window<samples_per_service>;

    void report(const pace_sample& sample);
    /// Returns the record of the endpoint's kind of work, marked as used.
    kind_record& touch(const pace_sample& sample, time_point now);
    void add_own_sample(const pace_sample& sample, double usual, time_point now);
    const kind_record* find(const std::string& incarnation, work_kind kind) const;

    std::unordered_map<std::string, endpoint_record> records;
    /// By service.
    std::map<std::string, std::array<usual_window, kind_count>> usual_windows;
    /// Durations of plain calls in ms, by route.
    std::map<std::string, usual_window> call_times;
    std::vector<pace_sample> unreported;
};

} // namespace radishstep::forward
