#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <string>

#include <boost/asio/awaitable.hpp>

#include "base/runtime_clock.h"
#include "keyvalue/key_value_source.h"

namespace radishstep {

/// What a watched prefix tells its user.
struct prefix_hooks
{
    /// All keys, after the first reading and whenever history was lost.
    std::function<void(const std::vector<stored_change>&)> on_all;
    /// One change.
    std::function<void(const stored_change&)> on_change;
    /// The service does not answer.
    std::function<void()> on_lost;
    /// The service answers again.
    std::function<void()> on_regained;
};

/// Keeps up with all keys under a prefix: reads them once, then watches, and reads again when the
/// service has lost history. Pauses between failed calls grow and are jittered.
class watched_prefix
{
public:
    /// How long a watch waits for news: the longest that the service allows, since each call has its
    /// price. A connection that went silent is found by its keep-alive probes.
    static constexpr milliseconds watch_time{25'000};
    /// The first watch after news or a failure waits only so long: news reach all hosts at once, so that a short
    /// silence of the service would swallow the next watch of each of them.
    static constexpr milliseconds first_watch_time{1'500};
    /// Pause after the first failed call, and the longest one: refused calls have their price too, and after
    /// an outage hosts are to be up to date within the two seconds in which endpoints come back.
    static constexpr milliseconds first_pause{60};
    static constexpr milliseconds longest_pause{1'200};

    /// `batch_pause` passes between news and the next watch, so that changes that come together cost one call.
    watched_prefix(key_value_source& source, std::string prefix, milliseconds batch_pause, prefix_hooks hooks);

    /// Keeps up until the process ends.
    boost::asio::awaitable<void> run();

private:
    boost::asio::awaitable<bool> read_all();
    boost::asio::awaitable<bool> watch_once();
    boost::asio::awaitable<void> pause_after_failure(const error& reason);
    void note_answer();

    key_value_source& source;
    std::string prefix;
    milliseconds batch_pause;
    prefix_hooks hooks;
    std::int64_t revision = 0;
    bool has_read = false;
    bool is_lost = false;
    /// The last watch was answered, and without news.
    bool is_quiet = false;
    milliseconds next_pause = first_pause;
};

} // namespace radishstep
