// One caller sends a chunked request whose trailer has a line of 66,000 bytes, within the configured limits, while
// others wait for their answers.
#include "kept_callers.h"

using namespace review;

namespace {

constexpr int max_header_bytes = 131'072;
constexpr std::size_t long_line_bytes = 66'000;
constexpr std::size_t usual_line_bytes = 64;
constexpr long work_ms = 300;

std::string small_request(const std::string& attempt)
{
    return request_text("POST", "/once/1", attempt, 4'000, {}, "small");
}

std::string chunked_request(const std::string& attempt, std::size_t line_bytes)
{
    return head_text("POST /once/1 HTTP/1.1", {{"Host", "site.example"},
                                               {"Attempt-Id", attempt},
                                               {"Deadline-Ms", "4000"},
                                               {"Transfer-Encoding", "chunked"},
                                               {"Trailer", "X-Manifest"}}) +
           chunk_text("body") + "0\r\nX-Manifest: " + std::string(line_bytes, 'm') + "\r\n\r\n";
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
        sleep_ms(work_ms);
        return caller.write(answer_text(200, engine_headers(request), "done"));
    };
    std::vector<std::unique_ptr<engine>> servers;
    for (int i = 1; i <= 3; ++i)
        servers.push_back(std::make_unique<engine>(registry, "app-" + std::to_string(i), "app", "", 16, run_request));
    registry.put("op/config",
                 configuration(1, json::array({route("once", "unsafe", "app", 1, false, 4'000)}), max_header_bytes));
    gateway host{folder.path, 1, registry.address()};
    host.start();
    if (!host.wait_until_ready(10'000)) {
        record.line("the gateway did not become ready");
        return exit_not_run;
    }
    sleep_ms(1'000);

    std::atomic<bool> is_over{false};
    std::thread platform{[&] {
        while (!is_over) {
            if (const auto ended = host.end()) {
                record.line("the gateway has ended by itself: " + *ended);
                const std::string log = host.log();
                const std::size_t cause = log.find("terminate called");
                if (cause != std::string::npos)
                    record.line("its last words: " + log.substr(cause, 200));
                sleep_ms(500);
                host.start();
            }
            sleep_ms(2);
        }
    }};

    kept_tally counted;
    kept_tally of_trailer;
    std::vector<std::thread> callers;
    const long end = now_ms() + 8'000;
    for (int i = 0; i < 10; ++i) {
        callers.emplace_back([&, i] {
            kept_caller caller{"c" + std::to_string(i), host, record, reached, counted};
            sleep_ms(30L * i);
            while (now_ms() < end) {
                caller.send(small_request);
                sleep_ms(20);
            }
        });
    }
    callers.emplace_back([&] {
        kept_caller caller{"t", host, record, reached, of_trailer};
        caller.send(small_request);
        sleep_ms(3'000);
        caller.send([is_trouble](const std::string& attempt) {
            return chunked_request(attempt, is_trouble ? long_line_bytes : usual_line_bytes);
        });
    });
    for (std::thread& caller : callers)
        caller.join();
    is_over = true;
    platform.join();
    host.kill();
    record.line("the caller with the trailer: " + describe(of_trailer));
    return judge_lost(counted, record);
}
