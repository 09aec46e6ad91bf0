// Many callers upload at once, each within the configured limits, to one machine with 110 MB. The platform kills a
// process that exceeds its memory and starts it again.
#include "kept_callers.h"

using namespace review;

namespace {

constexpr int memory_mb = 110;
/// max_body_bytes of the configuration is 4,194,304.
constexpr std::size_t upload_bytes = 4'000'000;
constexpr int usual_callers = 8;
/// The largest burst of the site's days: 2.3 times the usual traffic, for 4 s.
constexpr double burst_factor = 2.3;
constexpr long burst_ms = 4'000;
/// Long beside the time to send an upload, so that the machine's link of 1,000 Mbit/s is not full.
constexpr long work_ms = 1'000;

std::string upload(const std::string& attempt)
{
    return request_text("POST", "/once/1", attempt, 4'000, {}, std::string(upload_bytes, 'x'));
}

std::string small_request(const std::string& attempt)
{
    return request_text("POST", "/once/1", attempt, 4'000, {}, "small");
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return exit_not_run;
    ::signal(SIGPIPE, SIG_IGN);
    const bool is_trouble = has_trouble();
    record_file record{std::string{argv[1]} + "/record.txt"};
    record.line(std::string{"trouble "} + (is_trouble ? "on" : "off"));
    const temporary_folder folder;
    store registry;
    arrivals reached;
    const auto run_request = [&](engine&, connection& caller, const message& request) {
        reached.add(request.get("Attempt-Id"));
        sleep_ms(request.body.size() == upload_bytes ? work_ms : 20);
        return caller.write(answer_text(200, engine_headers(request), "done"));
    };
    std::vector<std::unique_ptr<engine>> servers;
    for (int i = 1; i <= 3; ++i)
        servers.push_back(std::make_unique<engine>(registry, "app-" + std::to_string(i), "app", "", 32, run_request));
    registry.put("op/config", configuration(1, json::array({route("once", "unsafe", "app", 1, false, 4'000)})));
    gateway host{folder.path, 1, registry.address(), memory_mb};
    host.start();
    if (!host.wait_until_ready(10'000)) {
        record.line("the gateway did not become ready");
        return exit_not_run;
    }
    sleep_ms(1'000);

    std::atomic<bool> is_over{false};
    double peak_mb = 0;
    int kills = 0;
    std::thread platform{[&] {
        constexpr double mb = 1'048'576.0 / 1e6;
        while (!is_over) {
            const double used = host.memory_mb();
            peak_mb = std::max(peak_mb, used);
            if (used > memory_mb * mb) {
                record.line("the process uses " + std::to_string(used) + " MB of " + std::to_string(memory_mb) +
                            " and is killed");
                host.kill();
                ++kills;
                sleep_ms(500);
                host.start();
                host.wait_until_ready(5'000);
            }
            sleep_ms(2);
        }
    }};

    kept_tally counted;
    std::vector<std::thread> callers;
    const long start = now_ms();
    const long burst_start = start + 4'000;
    const long burst_end = burst_start + burst_ms;
    const long end = burst_end + 4'000;
    const int all_callers = is_trouble ? static_cast<int>(usual_callers * burst_factor) : usual_callers;
    for (int i = 0; i < all_callers; ++i) {
        callers.emplace_back([&, i] {
            kept_caller caller{"c" + std::to_string(i), host, record, reached, counted};
            const bool is_usual = i < usual_callers;
            sleep_ms(40L * i);
            caller.send(small_request);
            if (!is_usual)
                sleep_ms(burst_start + 60L * (i - usual_callers) - now_ms());
            while (now_ms() < (is_usual ? end : burst_end)) {
                caller.send(upload);
                sleep_ms(100);
            }
        });
    }
    for (std::thread& caller : callers)
        caller.join();
    is_over = true;
    platform.join();
    host.kill();
    record.line("most memory seen: " + std::to_string(peak_mb) + " MB; killed " + std::to_string(kills) + " times");
    return judge_lost(counted, record);
}
