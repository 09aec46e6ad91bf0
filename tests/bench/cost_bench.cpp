#include "cost_bench.h"

#include <algorithm>
#include <chrono>
#include <thread>
#include <vector>

#include <boost/asio/buffer.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "cpu_time.h"
#include "load/load_report.h"
#include "routing/cell.h"
#include "site.h"

namespace radishstep::testing {

namespace {

namespace asio = boost::asio;

constexpr int cell_decode_endpoints = 48;
constexpr int cell_prefill_endpoints = 16;
constexpr int cell_clients = 480;
constexpr int permit_rounds = 100'000;
/// The relay gets its events at the rate at which the entry process gets its own: a process that is
/// never idle pays less for each event.
constexpr int relay_events = 16'000;
constexpr std::chrono::microseconds relay_pace{250};
constexpr int event_bytes = 64;
constexpr double us_per_s = 1e6;

cell full_cell(time_point now)
{
    pool_config pool;
    pool.name = "bench";
    for (int i = 0; i < cell_prefill_endpoints; ++i)
        pool.endpoints.push_back({"p" + std::to_string(i), "z", endpoint_role::prefill, "10.0.0.1:1", 1, 0, false});
    for (int i = 0; i < cell_decode_endpoints; ++i)
        pool.endpoints.push_back({"d" + std::to_string(i), "z", endpoint_role::decode, "10.0.0.2:1", 20, 4'000, false});
    cell made{"bench"};
    made.configure(pool, {});
    for (const endpoint_config& endpoint : made.endpoint_configs())
        made.apply_report({endpoint.name, true, false, "1", {}}, now);
    return made;
}

/// One permit is an ask, the end of its prefill and its release, with the cell about as full as at peak.
double measure_permits()
{
    const time_point start = runtime_clock::now();
    time_point now = start;
    cell tested = full_cell(now);
    constexpr int open_at_once = 900;
    const auto key_of = [](int number) { return permit_key{"host-1:1:" + std::to_string(number), 1}; };
    const double before = thread_cpu_seconds();
    for (int i = 0; i < permit_rounds; ++i) {
        now += std::chrono::microseconds{50};
        permit_request wish;
        wish.key = key_of(i);
        wish.holder = "host-1/1";
        wish.client = "client-" + std::to_string(i % cell_clients);
        wish.prompt_tokens = 100;
        wish.answer_tokens = 60;
        wish.fingerprint = static_cast<std::uint64_t>(i);
        wish.prefix = static_cast<std::uint64_t>(i);
        wish.patience = std::chrono::seconds{60};
        tested.handle_request(wish, now);
        if (i >= cell_prefill_endpoints / 2)
            tested.on_prefill_done(key_of(i - cell_prefill_endpoints / 2), std::chrono::milliseconds{10}, now);
        if (i >= open_at_once) {
            permit_release done;
            done.key = key_of(i - open_at_once);
            done.tokens = 60;
            done.decode_time = std::chrono::seconds{1};
            tested.release(done, now);
        }
    }
    return permit_rounds / (thread_cpu_seconds() - before);
}

asio::awaitable<void> send_events(asio::ip::tcp::socket& out)
{
    const std::string event(event_bytes, 'e');
    timer pace{out.get_executor()};
    time_point next = runtime_clock::now();
    for (int i = 0; i < relay_events; ++i) {
        next += relay_pace;
        pace.expires_at(next);
        co_await pace.async_wait(asio::use_awaitable);
        co_await asio::async_write(out, asio::buffer(event), asio::use_awaitable);
    }
    out.close();
}

asio::awaitable<void> relay_events_one_by_one(asio::ip::tcp::socket& in, asio::ip::tcp::socket& out)
{
    std::string event(event_bytes, ' ');
    for (int i = 0; i < relay_events; ++i) {
        co_await asio::async_read(in, asio::buffer(event), asio::use_awaitable);
        co_await asio::async_write(out, asio::buffer(event), asio::use_awaitable);
    }
}

/// The processor time of a relay that reads and writes each event of 64 bytes by itself.
double measure_relay()
{
    asio::io_context ends;
    asio::io_context middle;
    asio::ip::tcp::acceptor listener{ends, {asio::ip::make_address("127.0.0.1"), 0}};
    asio::ip::tcp::socket source{ends};
    asio::ip::tcp::socket in{middle};
    source.connect(listener.local_endpoint());
    listener.accept(in);
    asio::ip::tcp::socket out{middle};
    out.connect(listener.local_endpoint());
    asio::ip::tcp::socket sink = listener.accept();
    out.set_option(asio::ip::tcp::no_delay{true});
    asio::co_spawn(ends, send_events(source), asio::detached);
    auto drain = [&sink]() -> asio::awaitable<void> {
        std::string all(std::size_t{event_bytes} * 1'024, ' ');
        std::size_t left = static_cast<std::size_t>(relay_events) * event_bytes;
        while (left > 0)
            left -= co_await sink.async_read_some(asio::buffer(all), asio::use_awaitable);
    };
    asio::co_spawn(ends, drain(), asio::detached);
    asio::co_spawn(middle, relay_events_one_by_one(in, out), asio::detached);
    std::thread others{[&ends] { ends.run(); }};
    const double before = thread_cpu_seconds();
    middle.run();
    const double used = thread_cpu_seconds() - before;
    others.join();
    return used / relay_events * us_per_s;
}

/// Asks a prefill and a decode engine as the entry does; returns the time to the first token.
asio::awaitable<double> ask_engines(http::client& calls, const site& running, int number)
{
    const time_point started = runtime_clock::now();
    const std::string job = "direct:1:" + std::to_string(number) + ".1";
    const std::string prompt = "len:2 " + std::string(400, 'x') + std::to_string(number);
    const std::string source = running.engine_address("prefill-1");
    http::request read =
        http::json_request("POST", "/v1/prefill", R"({"job":")" + job + R"(","prompt":")" + prompt + "\"}");
    const http::call_options options;
    co_await calls.call(source, std::move(read), options);
    http::request write = http::json_request(
        "POST", "/v1/decode", R"({"job":")" + job + R"(","prompt":")" + prompt + R"(","source":")" + source + "\"}");
    const std::string target = running.engine_address("decode-1");
    auto stream = co_await calls.open(target, std::move(write), options);
    co_await (*stream)->next();
    const double first_token_ms = to_ms(runtime_clock::now() - started);
    while (true) {
        const auto part = co_await (*stream)->next();
        if (!part || part->empty())
            break;
    }
    co_return first_token_ms;
}

/// The median time to the first token through the entry less that at the engines, taken in turn.
double measure_added_latency(site& running)
{
    constexpr int calls = 100;
    std::vector<double> through;
    std::vector<double> direct;
    asio::io_context context{1};
    http::client engine_calls{context.get_executor()};
    for (int i = 0; i < calls; ++i) {
        completion_call wish;
        wish.address = running.entry(1);
        wish.prompt = "len:2 " + std::string(400, 'x') + std::to_string(i);
        through.push_back(running.calls().wait(running.calls().complete(wish)).first_token_ms);
        auto ask = [&]() -> asio::awaitable<void> {
            const double first_token_ms = co_await ask_engines(engine_calls, running, i);
            direct.push_back(first_token_ms);
        };
        asio::co_spawn(context, ask, asio::detached);
        context.run();
        context.restart();
    }
    return load::quantile(through, 0.5) - load::quantile(direct, 0.5);
}

/// Streams through one entry process, and the same prompts straight at the engines for the first token.
void measure_entry(cost_figures& costs)
{
    site_options options;
    options.hosts = 1;
    options.prefill = 2;
    options.decode = 2;
    options.decode_us = 5'000;
    options.prefill_us = 10;
    options.transfer_us = 1;
    site running{options};
    running.start();
    load::load_options wanted;
    wanted.entries = {running.entry(1)};
    wanted.keys = {"coach-key"};
    wanted.model = "gala-notes";
    wanted.rate = 40;
    wanted.seconds = 6;
    wanted.prompt_tokens = 100;
    wanted.answer_tokens = 100;
    const auto plan = load::make_plan(wanted);
    asio::io_context context{1};
    http::client calls{context.get_executor()};
    std::vector<load::call_sample> samples;
    auto work = [&]() -> asio::awaitable<void> { samples = co_await load::run_load(calls, wanted, *plan); };
    const double before = running.at("entry-1").cpu_seconds();
    asio::co_spawn(context, work, asio::detached);
    context.run();
    const double used = running.at("entry-1").cpu_seconds() - before;
    double tokens = 0;
    for (const load::call_sample& sample : samples)
        tokens += sample.tokens;
    costs.entry_event_us = used / std::max(tokens, 1.0) * us_per_s;
    costs.added_first_token_ms = measure_added_latency(running);
}

} // namespace

cost_figures measure_costs()
{
    cost_figures costs;
    costs.permits_per_s = measure_permits();
    costs.relay_event_us = measure_relay();
    measure_entry(costs);
    return costs;
}

} // namespace radishstep::testing
