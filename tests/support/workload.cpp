#include "workload.h"

#include <fstream>
#include <random>
#include <sstream>
#include <utility>

#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/this_coro.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "answers.h"
#include "base/runtime_clock.h"
#include "standin_server.h"

namespace radishstep::testing {

namespace asio = boost::asio;

namespace {

constexpr milliseconds ready_poll_interval{100};

/// State shared by the coroutines of one load, which all run on one thread.
struct load_state
{
    site& running;
    load_options options;
    std::mt19937_64 random;
    std::vector<bool> ready;
    std::vector<call_record> records;
    int started = 0;
    int active_senders = 0;
};

int pick_host(load_state& state)
{
    std::vector<int> ready_hosts;
    for (int host = 1; host <= state.running.sizes().hosts; ++host) {
        if (state.ready[static_cast<std::size_t>(host)])
            ready_hosts.push_back(host);
    }
    return ready_hosts.empty() ? 1 : ready_hosts[state.random() % ready_hosts.size()];
}

completion_call make_completion(load_state& state, call_record& record, int number)
{
    completion_call completion;
    record.prompt = "len:" + std::to_string(4 + state.random() % 20) + " call " + std::to_string(number) + " seed " +
                    std::to_string(state.options.seed) + std::string(state.random() % 400, 'x');
    record.max_tokens = state.options.max_tokens;
    record.left = static_cast<int>(state.random() % 100) < state.options.disconnect_percent;
    completion.address = state.running.entry(record.host);
    completion.prompt = record.prompt;
    completion.max_tokens = record.max_tokens;
    completion.stream = number % 4 != 0;
    completion.disconnect_after_tokens = record.left ? 1 + static_cast<int>(state.random() % 3) : 0;
    return completion;
}

http::request make_fee_request(const call_record& record)
{
    http::request fee_request = http::json_request("POST", "/entries/fee", "{\"fee\":\"" + record.key + "\"}");
    fee_request.lines.push_back({"Idempotency-Key", record.key});
    fee_request.lines.push_back({"Authorization", "Bearer coach-key"});
    return fee_request;
}

asio::awaitable<void> send_completion(load_state& state, int number)
{
    call_record record;
    record.host = pick_host(state);
    const completion_call completion = make_completion(state, record, number);
    record.outcome = co_await state.running.calls().complete(completion);
    record.ended_ms = wall_clock_ms();
    state.records.push_back(std::move(record));
}

asio::awaitable<void> send_fee(load_state& state, int number)
{
    const bool resends = static_cast<int>(state.random() % 100) < state.options.resend_percent;
    const int tries = resends ? 3 : 1;
    for (int i = 0; i < tries; ++i) {
        call_record record;
        record.host = pick_host(state);
        record.key = "fee-" + std::to_string(state.options.seed) + "-" + std::to_string(number);
        http::request fee_request = make_fee_request(record);
        const std::string address = state.running.entry(record.host);
        record.outcome = co_await state.running.calls().plain(address, std::move(fee_request));
        record.ended_ms = wall_clock_ms();
        state.records.push_back(std::move(record));
    }
}

asio::awaitable<void> send_calls(load_state& state)
{
    ++state.active_senders;
    while (state.started < state.options.calls) {
        const int number = ++state.started;
        if (state.options.plain)
            co_await send_fee(state, number);
        else
            co_await send_completion(state, number);
        if (state.options.pause_ms > 0)
            co_await pause_for(milliseconds{state.options.pause_ms});
    }
    --state.active_senders;
}

asio::awaitable<void> poll_readiness(load_state& state)
{
    while (state.active_senders > 0) {
        for (int host = 1; host <= state.running.sizes().hosts; ++host) {
            http::request readiness_request = http::get_request("/readyz");
            const std::string address = state.running.entry(host);
            const call_outcome outcome = co_await state.running.calls().plain(address, std::move(readiness_request));
            state.ready[static_cast<std::size_t>(host)] = outcome.status == 200;
        }
        co_await pause_for(ready_poll_interval);
    }
}

} // namespace

std::vector<call_record> run_load(site& running, const load_options& options)
{
    load_state state{running, options, std::mt19937_64{options.seed}, {}, {}, 0, 0};
    state.ready.assign(static_cast<std::size_t>(running.sizes().hosts) + 1, true);
    auto all = [&state]() -> asio::awaitable<int> {
        const auto executor = co_await asio::this_coro::executor;
        for (int i = 0; i < state.options.concurrent_calls; ++i)
            asio::co_spawn(executor, send_calls(state), asio::detached);
        co_await pause_for(milliseconds{1});
        co_await poll_readiness(state);
        co_return 0;
    };
    running.calls().wait(all());
    return std::move(state.records);
}

load_summary summarise(const std::vector<call_record>& records)
{
    load_summary summary;
    for (const call_record& record : records) {
        const call_outcome& outcome = record.outcome;
        const bool has_expected_text = outcome.whole && record.key.empty();
        if (has_expected_text && outcome.text != standin::whole_answer(record.prompt, record.max_tokens))
            ++summary.wrong_text;
        else if (outcome.whole)
            ++summary.whole;
        else if (outcome.ran == "not_run")
            ++summary.refused_not_run;
        else if (outcome.ran == "may_have_run")
            ++summary.refused_may_have_run;
        else if (record.left)
            ++summary.left;
        else if (outcome.connection_broke)
            ++summary.broken;
        else
            ++summary.cut_silently;
        if (!outcome.error_kind.empty())
            ++summary.kinds[outcome.error_kind];
    }
    return summary;
}

std::string describe(const load_summary& summary)
{
    std::ostringstream text;
    text << "whole=" << summary.whole << " wrong_text=" << summary.wrong_text << " not_run=" << summary.refused_not_run
         << " may_have_run=" << summary.refused_may_have_run << " left=" << summary.left << " broken=" << summary.broken
         << " cut_silently=" << summary.cut_silently;
    for (const auto& [kind, count] : summary.kinds)
        text << " " << kind << "=" << count;
    return text.str();
}

std::vector<std::vector<std::string>> read_run_logs(const site& running, const std::vector<std::string>& endpoints)
{
    std::vector<std::vector<std::string>> lines;
    for (const std::string& endpoint : endpoints) {
        std::ifstream file{running.run_log_file(endpoint)};
        for (std::string line; std::getline(file, line);) {
            std::istringstream words{line};
            std::vector<std::string> parts{endpoint};
            for (std::string word; words >> word;)
                parts.push_back(word);
            lines.push_back(std::move(parts));
        }
    }
    return lines;
}

} // namespace radishstep::testing
