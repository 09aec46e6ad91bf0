#include "fault_schedule.h"

#include <signal.h>

#include <algorithm>
#include <chrono>
#include <random>
#include <sstream>
#include <utility>

#include <nlohmann/json.hpp>

namespace radishstep::testing {

namespace {

constexpr std::chrono::milliseconds restart_delay{300};

const char* name_of(fault_kind kind)
{
    constexpr const char* names[] = {"kill",          "freeze", "slow_engine", "stall_transfers",
                                     "repeat_tokens", "outage", "slow_store",  "lost_answer"};
    return names[static_cast<int>(kind)];
}

bool is_engine_fault(fault_kind kind)
{
    return kind == fault_kind::slow_engine || kind == fault_kind::stall_transfers || kind == fault_kind::repeat_tokens;
}

std::vector<std::string> candidates(const fault_options& options, const site& running, fault_kind kind)
{
    std::vector<std::string> names;
    if (is_engine_fault(kind))
        return running.engines();
    for (const std::string& prefix : options.targets) {
        for (int i = 1; i <= 40; ++i) {
            const std::string name = prefix + std::to_string(i);
            if (running.has_process(name))
                names.push_back(name);
        }
    }
    return names;
}

std::string pick(std::vector<std::string> names, std::mt19937_64& random)
{
    return names.empty() ? "platform" : names[random() % names.size()];
}

} // namespace

std::vector<fault> make_schedule(const fault_options& options, const site& running, std::uint64_t seed)
{
    std::mt19937_64 random{seed};
    std::vector<fault> schedule;
    for (int i = 0; i < options.count; ++i) {
        fault next;
        next.at_ms = options.first_ms +
                     static_cast<int>(random() % static_cast<std::uint64_t>(options.last_ms - options.first_ms));
        next.kind = options.kinds[random() % options.kinds.size()];
        next.target = pick(candidates(options, running, next.kind), random);
        next.span_ms = options.span_ms;
        schedule.push_back(next);
        // Every second fault is followed by another one 50 ms later, so that faults overlap.
        if (i % 2 == 1) {
            fault second = next;
            second.at_ms += 50;
            second.kind = options.kinds[random() % options.kinds.size()];
            second.target = pick(candidates(options, running, second.kind), random);
            schedule.push_back(second);
        }
    }
    std::sort(schedule.begin(), schedule.end(),
              [](const fault& left, const fault& right) { return left.at_ms < right.at_ms; });
    return schedule;
}

std::string describe(const std::vector<fault>& schedule)
{
    std::ostringstream text;
    for (const fault& next : schedule)
        text << "  " << next.at_ms << " ms " << name_of(next.kind) << " " << next.target << "\n";
    return text.str();
}

fault_runner::fault_runner(site& running, std::vector<fault> schedule)
    : running(running), schedule(std::move(schedule)), thread([this] { this->run(); })
{
}

fault_runner::~fault_runner()
{
    this->thread.join();
}

void fault_runner::run()
{
    const auto started = std::chrono::steady_clock::now();
    std::vector<std::pair<std::chrono::steady_clock::time_point, std::string>> pending_resumes;
    const auto resume_due = [&](bool all) {
        for (auto item = pending_resumes.begin(); item != pending_resumes.end();) {
            if (!all && item->first > std::chrono::steady_clock::now()) {
                ++item;
                continue;
            }
            std::this_thread::sleep_until(item->first);
            this->running.at(item->second).signal(SIGCONT);
            item = pending_resumes.erase(item);
        }
    };
    for (const fault& next : this->schedule) {
        const auto at = started + std::chrono::milliseconds{next.at_ms};
        while (std::chrono::steady_clock::now() < at) {
            resume_due(false);
            std::this_thread::sleep_for(std::chrono::milliseconds{5});
        }
        if (next.kind == fault_kind::freeze) {
            this->running.at(next.target).signal(SIGSTOP);
            pending_resumes.emplace_back(at + std::chrono::milliseconds{next.span_ms}, next.target);
            continue;
        }
        this->inject(next);
    }
    resume_due(true);
}

void fault_runner::inject(const fault& next)
{
    const auto post = [this](const std::string& address, const nlohmann::json& body) {
        this->control.send(address, "POST", "/fault", body.dump());
    };
    const std::string engine = is_engine_fault(next.kind) ? this->running.engine_address(next.target) : "";
    switch (next.kind) {
    case fault_kind::kill:
        this->running.at(next.target).kill();
        std::this_thread::sleep_for(restart_delay);
        this->restart(next.target);
        break;
    case fault_kind::freeze:
        break;
    case fault_kind::slow_engine:
        post(engine, {{"slow_factor", 4}, {"slow_ms", next.span_ms}});
        break;
    case fault_kind::stall_transfers:
        post(engine, {{"stall_transfers", true}});
        std::this_thread::sleep_for(restart_delay);
        post(engine, {{"stall_transfers", false}});
        break;
    case fault_kind::repeat_tokens:
        post(engine, {{"repeat_every", 3}});
        break;
    case fault_kind::outage:
        post(this->running.platform_address(), {{"outage_ms", next.span_ms}});
        break;
    case fault_kind::slow_store:
        post(this->running.platform_address(), {{"slow_ms", 150}});
        std::this_thread::sleep_for(restart_delay);
        post(this->running.platform_address(), {{"slow_ms", 0}});
        break;
    case fault_kind::lost_answer:
        post(this->running.platform_address(), {{"lose_answers", 3}});
        break;
    }
}

void fault_runner::restart(const std::string& name)
{
    const int number = name == "platform" ? 0 : std::stoi(name.substr(name.rfind('-') + 1));
    if (name.starts_with("entry"))
        this->running.start_entry(number);
    else if (name.starts_with("broker"))
        this->running.start_broker(number);
    else if (name.starts_with("service"))
        this->running.start_service(name);
    else
        this->running.start_engine(name);
}

} // namespace radishstep::testing
