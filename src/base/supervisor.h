#pragma once

#include <functional>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "base/runtime_clock.h"

namespace radishstep {

/// How often a duty may fail before its supervisor gives up.
struct restart_limit
{
    int restarts = 5;
    runtime_clock::duration window = std::chrono::seconds{10};

    bool operator==(const restart_limit&) const = default;
};

/// A node of the supervisor tree. It runs each duty on a thread of its own and starts a duty again
/// when it fails; past the limit it stops its duties and tells its parent through `on_give_up`.
class supervisor
{
public:
    explicit supervisor(std::string name, restart_limit limit = {});
    ~supervisor();
    supervisor(const supervisor&) = delete;
    supervisor& operator=(const supervisor&) = delete;

    /// Adds a duty: `run` returns when it is done, `stop` makes it return from another thread.
    void add_duty(std::string name, std::function<void()> run, std::function<void()> stop);

    /// Returns a new supervisor below this one; when it gives up, this one gives up.
    supervisor& add_child(std::string name, restart_limit limit = {});

    /// Sets the hook that runs once when this supervisor gives up.
    void on_give_up(std::function<void(const std::string& duty)> hook);

    /// Starts all duties, children first.
    void start();

    /// Asks all duties to return and waits for them.
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
    std::function<void(const std::string&)> give_up;
    std::vector<std::unique_ptr<duty>> duties;
    std::vector<std::unique_ptr<supervisor>> children;
};

} // namespace radishstep
