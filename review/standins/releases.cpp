// The servers of a plain service are replaced one after the other while callers send repeatable requests on kept
// connections. Checks that a machine that says it is ready takes new connections (rule RECOVER).
#include "standins.h"

using namespace review;

namespace {

constexpr long contact_ms = 3'000;
constexpr int servers = 6;
constexpr int slots = 64;
constexpr int callers_count = servers * slots;
constexpr long work_ms = 400;
/// One server at a time, each second.
constexpr long gap_ms = 1'000;
constexpr long drain_ms = 2'000;
constexpr long releases_ms = 70'000;
constexpr int newcomers = 10;

void raise_own_descriptor_limit()
{
    rlimit descriptors{};
    ::getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    ::setrlimit(RLIMIT_NOFILE, &descriptors);
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 2)
        return exit_not_run;
    ::signal(SIGPIPE, SIG_IGN);
    raise_own_descriptor_limit();
    const bool is_trouble = has_trouble();
    record_file record{std::string{argv[1]} + "/record.txt"};
    record.line(std::string{"trouble "} + (is_trouble ? "on" : "off"));
    const temporary_folder folder;
    store registry;
    const auto run_request = [&](engine&, connection& caller, const message& request) {
        sleep_ms(work_ms);
        return caller.write(answer_text(200, engine_headers(request), "done"));
    };
    std::vector<std::unique_ptr<engine>> all;
    int number = 0;
    const auto start_server = [&] {
        all.push_back(
            std::make_unique<engine>(registry, "app-" + std::to_string(++number), "app", "", slots, run_request));
    };
    for (int i = 0; i < servers; ++i)
        start_server();
    registry.put("op/config", configuration(1, json::array({route("safe", "safe", "app", 2, false, 4'000)})));
    gateway host{folder.path, 1, registry.address()};
    host.start();
    if (!host.wait_until_ready(10'000)) {
        record.line("the gateway did not become ready");
        return exit_not_run;
    }
    sleep_ms(1'000);

    std::atomic<bool> is_over{false};
    std::atomic<int> answered{0};
    std::atomic<int> refused{0};
    std::atomic<int> failed{0};
    std::vector<std::thread> callers;
    for (int i = 0; i < callers_count; ++i) {
        callers.emplace_back([&, i] {
            std::shared_ptr<connection> link;
            for (int sent = 0; !is_over; ++sent) {
                if (!link)
                    link = connect_to(host.front);
                const std::string attempt = "c" + std::to_string(i) + "x" + std::to_string(sent);
                const bool is_written = link && link->write(request_text("GET", "/safe/" + attempt, attempt, 4'000));
                const auto answer = is_written ? link->read(false, 5'000) : std::nullopt;
                ++(!answer ? failed : answer->status == 200 ? answered : answer->status == 503 ? refused : failed);
                if (!answer || !answer->is_complete || answer->get("Connection") == "close")
                    link.reset();
                sleep_ms(100);
            }
        });
    }

    // The platform asks for readiness each second, on a kept connection.
    std::atomic<bool> is_ready{false};
    std::atomic<long> last_answer{0};
    std::thread readiness{[&] {
        std::shared_ptr<connection> link;
        while (!is_over) {
            if (!link)
                link = connect_to(host.ready);
            const bool is_written = link && link->write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n");
            const auto answer = is_written ? link->read(false, 1'000) : std::nullopt;
            is_ready = answer && answer->status == 200;
            if (!answer)
                link.reset();
            sleep_ms(1'000);
        }
    }};

    const long start = now_ms();
    std::vector<std::pair<std::size_t, long>> leaving;
    std::size_t oldest = 0;
    long next = start + gap_ms;
    while (now_ms() < start + releases_ms) {
        if (is_trouble && now_ms() >= next) {
            next += gap_ms;
            start_server();
            all[oldest]->write_entry("draining");
            leaving.emplace_back(oldest++, now_ms() + drain_ms + 500);
        }
        while (!leaving.empty() && now_ms() >= leaving.front().second) {
            all[leaving.front().first]->leave();
            leaving.erase(leaving.begin());
        }
        if ((now_ms() - start) / 10'000 != (now_ms() - 10 - start) / 10'000)
            record.line(std::to_string(oldest) + " servers replaced, the gateway has " +
                        std::to_string(host.open_descriptors()) + " descriptors open; " + std::to_string(answered) +
                        " answered, " + std::to_string(refused) + " refused, " + std::to_string(failed) + " failed");
        sleep_ms(10);
    }
    for (const auto& [index, at] : leaving)
        all[index]->leave();

    // Newcomers try, again and again, for somewhat longer than contact_ms.
    sleep_ms(2'000);
    record.line("the releases are over, the gateway has " + std::to_string(host.open_descriptors()) +
                " descriptors open");
    std::atomic<int> taken{0};
    std::atomic<int> tried{0};
    std::vector<std::thread> clients;
    const long newcomers_end = now_ms() + 2 * contact_ms;
    bool was_ready = true;
    for (int i = 0; i < newcomers; ++i) {
        clients.emplace_back([&, i] {
            for (int sent = 0; now_ms() < newcomers_end; ++sent) {
                const std::string attempt = "n" + std::to_string(i) + "x" + std::to_string(sent);
                const long sent_at = now_ms();
                ++tried;
                const auto answer = call(host.front, request_text("GET", "/safe/" + attempt, attempt, 4'000), 1'000);
                taken += answer ? 1 : 0;
                record.line("newcomer " + attempt + ", sent at " + std::to_string(sent_at) + " ms, got " +
                            (answer ? std::to_string(answer->status) : std::string{"nothing within a second"}));
                sleep_ms(200);
            }
        });
    }
    while (now_ms() < newcomers_end) {
        was_ready = was_ready && is_ready;
        sleep_ms(100);
    }
    for (std::thread& client : clients)
        client.join();
    is_over = true;
    for (std::thread& caller : callers)
        caller.join();
    readiness.join();
    host.kill();
    record.line("callers on kept connections: " + std::to_string(answered) + " answered, " + std::to_string(refused) +
                " refused with 503, " + std::to_string(failed) + " failed");
    record.line(std::to_string(newcomers) + " newcomers tried " + std::to_string(tried) + " times in " +
                std::to_string(2 * contact_ms) + " ms, " + std::to_string(taken) +
                " got an answer; the machine said it was " + (was_ready ? "ready all the while" : "not ready"));
    const bool is_broken = taken == 0 && was_ready;
    record.line(is_broken ? "RECOVER broken" : answered > 0 ? "held" : "nothing was served");
    return is_broken ? exit_broken : answered > 0 ? exit_held : exit_not_run;
}
