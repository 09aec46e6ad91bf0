#include "soak_run.h"

#include <csignal>
#include <map>
#include <thread>

namespace radishstep::testing {

using namespace std::chrono_literals;

namespace {

constexpr int plain_endpoints = 3;
constexpr int prefill_engines = 2;
constexpr int decode_engines = 4;

bool may_repeat(const std::string& path)
{
    return path.starts_with("/plain/") || path.starts_with("/resume/");
}

http::headers stream_headers()
{
    return {{"Model", "m"}, {"Token-Count", "800,100"}, {"Prefix-Hash", "a:200,b:600"}};
}

bool is_stream(const std::string& path)
{
    return path.starts_with("/stream/") || path.starts_with("/resume/");
}

} // namespace

soak_run::soak_run(soak_plan plan)
    : plan(plan), random(plan.seed), notice_random(~plan.seed),
      site(plain_endpoints, prefill_engines, decode_engines, plan.hosts)
{
    for (const auto& [id, engine] : this->site.engines) {
        this->proxies.push_back(std::make_unique<fault_proxy>(this->site.io.get_executor(), engine->address()));
        engine->set_advertised_address(this->proxies.back()->address());
    }
    this->site.register_engines();
}

std::vector<std::string> soak_run::run()
{
    this->start_hosts();
    std::vector<std::thread> callers;
    callers.reserve(static_cast<std::size_t>(this->plan.callers));
    for (int i = 0; i < this->plan.callers; ++i)
        callers.emplace_back([this, i] { this->send_calls(i); });
    const auto until = std::chrono::steady_clock::now() + std::chrono::seconds{this->plan.seconds};
    while (std::chrono::steady_clock::now() < until) {
        this->inject_fault();
        this->inject_notice();
        std::this_thread::sleep_for(milliseconds{100 + this->random_below(500)});
    }
    this->end_faults();
    this->check_recovery();
    this->is_over = true;
    for (std::thread& caller : callers)
        caller.join();
    this->check_answers();
    this->check_runs();
    this->check_budget();
    this->check_config();
    this->check_older_config();
    this->check_leaving_engine("p2", "/plain/");
    this->check_leaving_engine("d3", "/stream/");
    this->check_paused_engine("p1", "/once/");
    this->check_paused_engine("d2", "/resume/");
    this->check_notices();
    this->check_drain();
    this->check_cancellation();
    this->check_retries();
    this->check_invalid_answers();
    if (!this->findings.empty())
        this->findings.push_back("the hosts' logs are kept in " + this->site.keep_files());
    return this->findings;
}

void soak_run::start_hosts()
{
    for (int host = 0; host < this->plan.hosts; ++host)
        this->site.start_gateway(static_cast<std::size_t>(host));
    for (int host = 0; host < this->plan.hosts; ++host) {
        if (!this->site.wait_until_ready(5s, static_cast<std::size_t>(host)))
            this->add_finding("host " + std::to_string(host) + " is not ready 5 s after its start");
    }
}

site_request soak_run::make_request(std::mt19937_64& own_random, const std::string& id) const
{
    constexpr std::array paths{"/plain/", "/once/", "/stream/", "/resume/"};
    constexpr int calls_per_disconnect = 12;
    site_request request;
    request.path = std::string{paths[own_random() % paths.size()]} + id;
    request.id = id;
    request.body = "body of " + id;
    if (is_stream(request.path))
        request.extra_headers = stream_headers();
    if (own_random() % calls_per_disconnect == 0)
        request.disconnect_after = milliseconds{5 + own_random() % 60};
    return request;
}

void soak_run::send_calls(int caller_number)
{
    caller calls;
    std::mt19937_64 own_random{this->plan.seed * 1'000 + static_cast<std::uint64_t>(caller_number)};
    for (int i = 0; !this->is_over; ++i) {
        const site_request request =
            this->make_request(own_random, "c" + std::to_string(caller_number) + "-" + std::to_string(i));
        const std::size_t host = own_random() % static_cast<std::size_t>(this->plan.hosts);
        const site_response got = this->send_call(calls, request, host);
        const std::scoped_lock lock{this->mutex};
        this->ended_calls.push_back({request, got, request.disconnect_after > 0ms});
    }
}

site_response soak_run::send_call(caller& calls, const site_request& request, std::size_t host)
{
    noted_request noted;
    noted.host = host;
    noted.sent_at = runtime_clock::now();
    noted.has_disconnected = request.disconnect_after > 0ms;
    site_response got = calls.wait(call_gateway(this->site.callers_address(host), request));
    noted.ended_at = runtime_clock::now();
    const std::string_view signature = http::find_header(got.lines, "Server-Signature");
    if (got.is_complete && http::find_header(got.lines, "Server-Leaving") == "1")
        noted.leaving_engine = signature.substr(0, signature.find('.'));
    const std::scoped_lock lock{this->mutex};
    this->notices.record_request(request.id, noted);
    return got;
}

void soak_run::inject_fault()
{
    switch (this->random_below(5)) {
    case 0:
    case 1:
        return this->inject_engine_fault();
    case 2:
        return this->inject_host_fault();
    case 3:
        return this->inject_store_fault();
    default:
        return this->change_config();
    }
}

void soak_run::inject_engine_fault()
{
    const auto chosen = static_cast<std::size_t>(this->random_below(static_cast<int>(this->site.engines.size())));
    constexpr int engine_faults = static_cast<int>(engine_fault::expired_prefill_results) + 1;
    constexpr int proxy_faults = static_cast<int>(proxy_fault::stall) + 1;
    if (this->random_below(2) == 0) {
        const auto fault = static_cast<proxy_fault>(this->random_below(proxy_faults));
        this->notices.record_link(this->site.engines[chosen].first, fault != proxy_fault::none);
        this->proxies[chosen]->set_fault(fault);
        return;
    }
    this->site.engines[chosen].second->set_fault(static_cast<engine_fault>(this->random_below(engine_faults)));
}

void soak_run::inject_host_fault()
{
    const auto host = static_cast<std::size_t>(this->random_below(this->plan.hosts));
    auto& gateway = this->site.gateway(host);
    this->notices.record_host_fault(host);
    if (!gateway->is_running()) {
        this->site.start_gateway(host);
        this->notices.record_host_fault(host);
        return;
    }
    switch (this->random_below(4)) {
    case 0:
        gateway->kill();
        this->site.start_gateway(host);
        break;
    case 1:
        gateway->signal(SIGTERM);
        break;
    case 2:
        gateway->signal(SIGHUP);
        break;
    default:
        gateway->signal(SIGSTOP);
        std::this_thread::sleep_for(milliseconds{200 + this->random_below(1'200)});
        gateway->signal(SIGCONT);
    }
    this->notices.record_host_fault(host);
}

void soak_run::inject_notice()
{
    const std::size_t chosen = this->notice_random() % this->site.engines.size();
    standin_engine& engine = *this->site.engines[chosen].second;
    constexpr std::array pauses{"0.7", "1.2", "2.5"};
    switch (this->notice_random() % 4) {
    case 0:
        return engine.set_pause(pauses[this->notice_random() % pauses.size()]);
    case 1:
        return engine.set_pause(std::nullopt);
    case 2:
        return engine.set_leaving(true);
    default:
        if (engine.says_it_is_leaving())
            this->restart_engine(engine);
    }
}

/// Replaces the engine by a new incarnation at the same address.
void soak_run::restart_engine(standin_engine& engine)
{
    engine.restart();
    this->site.store->put(engine.key(), engine.entry());
}

void soak_run::inject_store_fault()
{
    constexpr int store_faults = static_cast<int>(store_fault::lost_writes) + 1;
    switch (this->random_below(4)) {
    case 0:
        return this->site.store->compact();
    case 1:
        return this->site.store->end_leases();
    default:
        return this->site.store->set_fault(static_cast<store_fault>(this->random_below(store_faults)));
    }
}

void soak_run::change_config()
{
    this->version += 1 + this->random_below(5);
    this->site.write_config(this->version, "/added-" + std::to_string(this->version) + "/");
}

void soak_run::end_faults()
{
    for (std::size_t i = 0; i < this->proxies.size(); ++i) {
        this->proxies[i]->set_fault(proxy_fault::none);
        this->notices.record_link(this->site.engines[i].first, false);
        this->site.engines[i].second->set_fault(engine_fault::none);
        this->site.engines[i].second->set_pause(std::nullopt);
        if (this->site.engines[i].second->says_it_is_leaving())
            this->restart_engine(*this->site.engines[i].second);
    }
    this->site.store->set_fault(store_fault::none);
    // A host that received SIGTERM gets its full shutdown time before it is started again.
    constexpr auto grace = 9s;
    for (int i = 0; i < this->plan.hosts; ++i) {
        const auto host = static_cast<std::size_t>(i);
        this->site.gateway(host)->signal(SIGCONT);
        if (wait_until([&] { return !this->site.gateway(host)->is_running() || this->site.is_ready(host); }, grace) &&
            this->site.gateway(host)->is_running())
            continue;
        this->site.start_gateway(host);
        this->notices.record_host_fault(host);
    }
}

void soak_run::check_recovery()
{
    constexpr auto recovery = 6s;
    constexpr int probes = 20;
    for (int i = 0; i < this->plan.hosts; ++i) {
        if (!this->site.wait_until_ready(recovery, static_cast<std::size_t>(i)))
            this->add_finding("host " + std::to_string(i) + " is not ready 6 s after the last fault");
    }
    std::this_thread::sleep_for(4s);
    int served = 0;
    for (int i = 0; i < probes; ++i) {
        site_request request;
        request.id = "probe-" + std::to_string(i);
        request.path = "/once/" + request.id;
        served += this->site.call(request).status == 200U ? 1 : 0;
    }
    if (served < probes - 1)
        this->add_finding("only " + std::to_string(served) + " of 20 calls are served after the faults");
}

void soak_run::check_answers()
{
    constexpr unsigned ok_status = 200;
    for (const ended_call& call : this->ended_calls) {
        if (call.has_disconnected || call.got.status != ok_status)
            continue;
        if (is_stream(call.request.path)) {
            const std::string whole = whole_stream(call.request.id);
            if (call.got.is_complete && call.got.body != whole)
                this->add_finding("stream " + call.request.id +
                                  " is marked complete but differs from the expected answer");
            if (!whole.starts_with(call.got.body))
                this->add_finding("stream " + call.request.id + " has bytes that differ from the expected answer");
            continue;
        }
        if (call.got.is_complete && !call.got.body.starts_with("whole answer of p"))
            this->add_finding("call " + call.request.id + " got '" + call.got.body + "'");
        if (http::find_header(call.got.lines, "Attempt-Id") != call.request.id)
            this->add_finding("call " + call.request.id + " got the answer of another call");
    }
}

void soak_run::check_runs()
{
    std::map<std::string, int> runs;
    for (const auto& [id, engine] : this->site.engines) {
        if (engine->active_count() != 0 && !wait_until([&] { return engine->active_count() == 0; }, 1s))
            this->add_finding("endpoint " + id + " is still working 1 s after the last call");
        for (const engine_call& call : engine->calls()) {
            runs[call.id] += call.has_run ? 1 : 0;
            const bool is_for_request = call.kind != "order" && call.kind != "release";
            if (!call.id.starts_with("probe") && is_for_request && call.request.body != "body of " + call.id)
                this->add_finding("endpoint " + id + " received the wrong body for " + call.id);
        }
    }
    for (const ended_call& call : this->ended_calls) {
        const int times = runs[call.request.id];
        if (!may_repeat(call.request.path) && times > 1)
            this->add_finding(call.request.path + " ran " + std::to_string(times) + " times");
        const unsigned status = call.got.status;
        const bool is_refused = status == 503U || status == 429U || status == 408U || status == 421U;
        if (is_refused && !call.has_disconnected && !may_repeat(call.request.path) && times > 0)
            this->add_finding(call.request.path + " was refused with " + std::to_string(status) + " but ran");
    }
}

void soak_run::check_budget()
{
    // Retry ratio and slack as in the gateways' settings; each further window allows the slack again.
    constexpr double ratio = 0.2;
    constexpr int slack = 20;
    constexpr int window_seconds = 10;
    std::map<std::string, int> arrivals;
    for (const auto& [id, engine] : this->site.engines) {
        for (const engine_call& call : engine->calls()) {
            if (call.kind != "order" && call.kind != "prefill" && call.kind != "release")
                ++arrivals[call.id];
        }
    }
    int extras = 0;
    for (const auto& [id, times] : arrivals)
        extras += std::max(times - 1, 0);
    const int windows = (this->plan.seconds + 20) / window_seconds + 1;
    if (extras > ratio * static_cast<double>(this->ended_calls.size()) + 2 * slack * windows)
        this->add_finding(std::to_string(extras) + " extra calls for " + std::to_string(this->ended_calls.size()) +
                          " requests");
}

void soak_run::check_config()
{
    this->change_config();
    const std::string path = "/added-" + std::to_string(this->version) + "/";
    caller calls;
    for (int i = 0; i < this->plan.hosts; ++i) {
        const std::string address = this->site.callers_address(static_cast<std::size_t>(i));
        const auto status_of = [&](const std::string& route_path) {
            site_request request;
            request.id = "probe-config";
            request.path = route_path;
            return calls.wait(call_gateway(address, request)).status;
        };
        if (!wait_until([&] { return status_of(path + "1") == 200U; }, 2s))
            this->add_finding("host " + std::to_string(i) + " does not serve the newest configuration");
        if (status_of("/added-never/1") != 404U)
            this->add_finding("host " + std::to_string(i) + " serves a route that was never configured");
    }
}

void soak_run::check_drain()
{
    standin_engine& draining_engine = *this->site.engines.front().second;
    this->site.store->put(draining_engine.key(), draining_engine.entry("draining"));
    std::this_thread::sleep_for(2s);
    const std::size_t before = draining_engine.calls().size();
    for (int i = 0; i < 20; ++i) {
        site_request request;
        request.id = "probe-drain-" + std::to_string(i);
        this->site.call(request);
    }
    if (draining_engine.calls().size() != before)
        this->add_finding("a draining endpoint received new requests");
}

void soak_run::check_older_config()
{
    constexpr auto max_apply_time = 2s;
    const std::string newest = "/added-" + std::to_string(this->version) + "/1";
    this->site.write_config(this->version - 1, "/older/");
    std::this_thread::sleep_for(max_apply_time);
    caller calls;
    for (int i = 0; i < this->plan.hosts; ++i) {
        const std::string address = this->site.callers_address(static_cast<std::size_t>(i));
        site_request request;
        request.id = "probe-older";
        request.path = newest;
        if (calls.wait(call_gateway(address, request)).status != 200U)
            this->add_finding("host " + std::to_string(i) + " went back to an older configuration");
    }
}

/// Callers disconnect from endpoints that never answer; the endpoints must stop working within 1 s.
void soak_run::check_cancellation()
{
    for (const auto& [id, engine] : this->site.engines)
        engine->set_fault(engine_fault::never_answers);
    for (const char* path : {"/plain/", "/once/", "/stream/", "/resume/"}) {
        site_request request;
        request.id = std::string{"probe-leaves-"} + (path + 1);
        request.path = path + request.id;
        request.disconnect_after = milliseconds{100};
        if (is_stream(request.path))
            request.extra_headers = stream_headers();
        this->site.call(request);
    }
    for (const auto& [id, engine] : this->site.engines) {
        if (!wait_until([&] { return engine->active_count() == 0; }, 1s))
            this->add_finding("endpoint " + id + " is still working 1 s after its caller disconnected");
        engine->set_fault(engine_fault::none);
    }
}

/// Every call fails at its endpoint and may be retried, so that only the retry budget limits the attempts.
void soak_run::check_retries()
{
    // Window, ratio (one fifth) and slack (20) of the retry budget as in the gateways' settings. After a wait of
    // one window, earlier calls no longer count.
    constexpr auto window = 10s;
    constexpr int probes = 200;
    constexpr int allowed = probes / 5 + 20;
    std::this_thread::sleep_for(window);
    for (const auto& [id, engine] : this->site.engines)
        engine->set_fault(engine_fault::error_500);
    for (int i = 0; i < probes; ++i) {
        site_request request;
        request.id = "probe-retry-" + std::to_string(i);
        request.path = "/plain/" + request.id;
        this->site.call(request);
    }
    int arrived = 0;
    for (const auto& [id, engine] : this->site.engines) {
        for (const engine_call& call : engine->calls())
            arrived += call.id.starts_with("probe-retry-") ? 1 : 0;
    }
    if (arrived < probes || arrived > probes + allowed)
        this->add_finding(std::to_string(arrived) + " attempts for " + std::to_string(probes) + " failing requests");
}

/// All endpoints give answers that belong to another call, are unsigned, cut or encoded; none may be
/// passed on as complete.
void soak_run::check_invalid_answers()
{
    constexpr std::array faults{engine_fault::wrong_id, engine_fault::no_signature, engine_fault::cut_body,
                                engine_fault::encoded};
    for (const engine_fault fault : faults) {
        for (const auto& [id, engine] : this->site.engines)
            engine->set_fault(fault);
        for (const char* path : {"/plain/", "/once/"}) {
            site_request request;
            request.id = "probe-spoiled-" + std::to_string(static_cast<int>(fault));
            request.path = path + request.id;
            const site_response got = this->site.call(request);
            if (got.status == 200U && got.is_complete)
                this->add_finding(request.path + " got '" + got.body + "'");
        }
    }
}

/// An engine announces in its answers alone that it leaves, while the store does not answer.
void soak_run::check_leaving_engine(const std::string& id, const std::string& path)
{
    constexpr int probes_per_host = 30;
    standin_engine& engine = this->site.engine(id);
    engine.set_leaving(true);
    this->site.store->set_fault(store_fault::unresponsive);
    this->send_notice_probes(path, probes_per_host);
    std::this_thread::sleep_for(notice_checker::drain_time + 100ms);
    this->send_notice_probes(path, probes_per_host);
    this->site.store->set_fault(store_fault::none);
    this->restart_engine(engine);
    const std::size_t before = engine.calls().size();
    const auto is_used_again = [&] {
        this->send_notice_probes(path, 1);
        return engine.calls().size() > before;
    };
    if (!wait_until(is_used_again, 20s))
        this->add_finding("endpoint " + id + " gets no requests after its restart");
}

void soak_run::check_paused_engine(const std::string& id, const std::string& path)
{
    constexpr auto pause = 2s;
    constexpr int probes_per_host = 10;
    this->site.engine(id).set_pause("2");
    const auto until = std::chrono::steady_clock::now() + pause;
    while (std::chrono::steady_clock::now() < until)
        this->send_notice_probes(path, probes_per_host);
    this->site.engine(id).set_pause(std::nullopt);
}

void soak_run::send_notice_probes(const std::string& path, int count_per_host)
{
    caller calls;
    for (int i = 0; i < count_per_host * this->plan.hosts; ++i) {
        site_request request;
        request.id = "notice-" + std::to_string(++this->notice_probes);
        request.path = path + request.id;
        request.body = "body of " + request.id;
        if (is_stream(request.path))
            request.extra_headers = stream_headers();
        this->send_call(calls, request, static_cast<std::size_t>(i % this->plan.hosts));
    }
}

void soak_run::check_notices()
{
    std::size_t checked = 0;
    for (const auto& [id, engine] : this->site.engines) {
        const auto calls = engine->calls();
        checked += this->notices.notices_checked(id, calls);
        for (const std::string& finding : this->notices.check(id, calls))
            this->add_finding(finding);
    }
    // Each host hears each of the four notices that are played after the other faults.
    const auto expected = 4 * static_cast<std::size_t>(this->plan.hosts);
    if (checked < expected)
        this->add_finding("only " + std::to_string(checked) + " notices of endpoints reached a host");
}

void soak_run::add_finding(const std::string& what)
{
    this->findings.push_back(what);
}

int soak_run::random_below(int below)
{
    return static_cast<int>(this->random() % static_cast<std::uint64_t>(below));
}

} // namespace radishstep::testing
