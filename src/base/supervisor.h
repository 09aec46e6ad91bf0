#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep {

/// Maximum number of restarts of one duty within `window`; at the next failure its supervisor gives up.
struct restart_limit
{
    int restarts = 5;
    runtime_clock::duration window = std::chrono::seconds{10};

    bool operator==(const restart_limit&) const = default;
};

/// A supervisor of a supervision tree. It runs each duty on a separate thread and restarts a duty that
/// fails. A duty that fails more often than the limit is not restarted, and the `on_give_up` hook runs.
class supervisor
{
public:
    explicit supervisor(std::string name, restart_limit limit = {});
    ~supervisor();
    supervisor(const supervisor&) = delete;
    supervisor& operator=(const supervisor&) = delete;

    /// Adds a duty: `run` returns when it is done; `stop`, called on another thread, makes `run` return.
    void add_duty(std::string name, std::function<void()> run, std::function<void()> stop);

    /// Returns a new child supervisor; when it gives up, the `on_give_up` hook of this one runs.
    supervisor& add_child(std::string name, restart_limit limit = {});

    /// Sets the hook that runs once when this supervisor gives up.
    void on_give_up(std::function<void(const std::string& duty)> hook);

    /// Starts all duties, children first.
    void start();

    /// Stops all duties and waits until their threads have ended, then stops the children.
    void stop();

private:
    struct duty
    {
        std::string name;
        std::function<void()> run;
        std::function<void()> stop;
        std::jthread thread;
    };

    void run_duty(const duty& work);

    std::string name;
    restart_limit limit;
    std::function<void(const std::string&)> give_up_hook;
    std::vector<std::unique_ptr<duty>> duties;
    std::vector<std::unique_ptr<supervisor>> children;
};

} // namespace radishstep
