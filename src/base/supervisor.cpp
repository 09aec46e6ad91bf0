#include "base/supervisor.h"

#include <deque>
#include <exception>
#include <utility>

#include "base/log.h"
#include "base/metrics.h"

namespace radishstep {

supervisor::supervisor(std::string name, restart_limit limit) : name(std::move(name)), limit(limit) {}

supervisor::~supervisor()
{
    this->stop();
}

void supervisor::add_duty(std::string duty_name, std::function<void()> run, std::function<void()> stop)
{
    auto work = std::make_unique<duty>();
    work->name = std::move(duty_name);
    work->run = std::move(run);
    work->stop = std::move(stop);
    this->duties.push_back(std::move(work));
}

supervisor& supervisor::add_child(std::string child_name, restart_limit child_limit)
{
    auto child = std::make_unique<supervisor>(std::move(child_name), child_limit);
    child->on_give_up([this](const std::string& duty_name) {
        if (this->give_up_hook)
            this->give_up_hook(duty_name);
    });
    this->children.push_back(std::move(child));
    return *this->children.back();
}

void supervisor::on_give_up(std::function<void(const std::string&)> hook)
{
    this->give_up_hook = std::move(hook);
}

void supervisor::start()
{
    for (const auto& child : this->children)
        child->start();
    for (const auto& work : this->duties) {
        duty* started = work.get();
        started->thread = std::jthread{[this, started] { this->run_duty(*started); }};
    }
}

void supervisor::stop()
{
    for (const auto& work : this->duties)
        work->stop();
    for (const auto& work : this->duties) {
        if (work->thread.joinable())
            work->thread.join();
    }
    for (const auto& child : this->children)
        child->stop();
}

void supervisor::run_duty(const duty& work)
{
    std::deque<time_point> failures;
    while (true) {
        try {
            work.run();
            return;
        } catch (const std::exception& failure) {
            log_problem("duty_failed", {{"supervisor", this->name}, {"duty", work.name}, {"cause", failure.what()}});
            count("radishstep_duty_failures_total", {{"duty", work.name}});
        }
        const time_point now = runtime_clock::now();
        failures.push_back(now);
        while (failures.front() + this->limit.window < now)
            failures.pop_front();
        if (static_cast<int>(failures.size()) <= this->limit.restarts)
            continue;
        log_problem("duty_given_up", {{"supervisor", this->name}, {"duty", work.name}});
        if (this->give_up_hook)
            this->give_up_hook(work.name);
        return;
    }
}

} // namespace radishstep
