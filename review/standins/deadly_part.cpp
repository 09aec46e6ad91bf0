// A part of prompts crashes each engine that begins to write an answer on it. Counts how many requests with that part
// reach engines later than contact_ms after the fifth crash (rule BUDGET).
// Arguments: FOLDER MODE, where MODE is long_prompt, first_event or quiet.
#include "standins.h"

using namespace review;

namespace {

constexpr long contact_ms = 3'000;
constexpr int crashes_that_count = 5;
constexpr int most_late_arrivals = 3;

struct scenario
{
    /// Shared parts of each prompt before the deadly one.
    int shared_parts = 1;
    /// An engine writes the first event of its answer before it crashes.
    bool sends_first_event = false;
    /// How long a crashed engine is away.
    long down_ms = 5'000;
    /// From its start until its entry in the store is new.
    long register_ms = 0;
    /// One request with the part, and one without it, in each interval.
    long deadly_interval_ms = 1'000;
    long sound_interval_ms = 125;
    long length_ms = 40'000;
};

scenario find_scenario(const std::string& mode)
{
    scenario chosen;
    if (mode == "long_prompt")
        chosen.shared_parts = 17;
    if (mode == "first_event")
        chosen.sends_first_event = true;
    if (mode == "same_id") {
        chosen.down_ms = 2'000;
        chosen.register_ms = 1'000;
    }
    if (mode == "quiet") {
        chosen.down_ms = 2'000;
        chosen.deadly_interval_ms = 6'000;
        chosen.sound_interval_ms = 6'000;
        chosen.length_ms = 78'000;
    }
    return chosen;
}

constexpr const char* deadly_part = "dead0bad";

std::string prompt(const scenario& plan, bool is_deadly, int number)
{
    std::string parts;
    for (int i = 0; i < plan.shared_parts; ++i)
        parts += std::to_string(10'000'000 + i) + ":100,";
    if (is_deadly)
        parts += std::string{deadly_part} + ":100,";
    return parts + (is_deadly ? "d" : "5") + std::to_string(1'000'000 + number) + ":100";
}

struct arrival
{
    long at_ms;
    std::string attempt;
    std::string engine;
};

/// What the engines have seen of requests with the part.
struct observations
{
    std::mutex mutex;
    std::vector<arrival> arrivals;
    std::vector<long> crashes;
};

struct tally
{
    std::atomic<int> sent{0};
    std::atomic<int> complete{0};
    std::atomic<int> refused{0};
    std::atomic<int> other{0};
};

} // namespace

int main(int argc, char** argv)
{
    if (argc != 3)
        return exit_not_run;
    ::signal(SIGPIPE, SIG_IGN);
    const bool is_trouble = has_trouble();
    const scenario plan = find_scenario(argv[2]);
    record_file record{std::string{argv[1]} + "/record.txt"};
    record.line(std::string{"mode "} + argv[2] + ", trouble " + (is_trouble ? "on" : "off"));
    const temporary_folder folder;
    store registry;
    observations seen;
    std::vector<std::thread> restarts;
    std::mutex restarts_mutex;
    std::atomic<bool> is_over{false};

    const auto run_decode = [&](engine& self, connection& caller, const message& request) {
        const std::string attempt = request.get("Attempt-Id");
        const bool is_deadly = request.get("Prefix-Hash").find(deadly_part) != std::string::npos;
        if (is_deadly) {
            const std::scoped_lock lock{seen.mutex};
            seen.arrivals.push_back({now_ms(), attempt, self.id});
            record.line("engine " + self.id + " gets " + attempt + " with the part");
        }
        if (!is_deadly || !is_trouble)
            return send_stream(caller, request, 20, 40);
        if (plan.sends_first_event) {
            header_lines headers = engine_headers(request);
            headers.emplace_back("Content-Type", "text/event-stream");
            headers.emplace_back("Transfer-Encoding", "chunked");
            caller.write(head_text("HTTP/1.1 200 OK", headers) + chunk_text(stream_event(attempt, 1)));
            sleep_ms(30);
        }
        {
            const std::scoped_lock lock{seen.mutex};
            seen.crashes.push_back(now_ms());
            record.line("engine " + self.id + " crashes on " + attempt + ", crash " +
                        std::to_string(seen.crashes.size()));
        }
        const std::scoped_lock lock{restarts_mutex};
        restarts.emplace_back([&] {
            self.crash();
            sleep_ms(plan.down_ms);
            if (is_over)
                return;
            self.start_again(plan.register_ms);
            record.line("engine " + self.id + " is back");
        });
        return false;
    };
    const auto run_prefill = [&](engine& self, connection& caller, const message& request) {
        const json body{{"handle", self.id + std::to_string(now_ms())}, {"tokens", 200}, {"version", 1}};
        return caller.write(answer_text(200, engine_headers(request), body.dump()));
    };

    std::vector<std::unique_ptr<engine>> engines;
    for (int i = 1; i <= 2; ++i)
        engines.push_back(
            std::make_unique<engine>(registry, "prefill-" + std::to_string(i), "llm", "prefill", 128, run_prefill));
    for (int i = 1; i <= 8; ++i)
        engines.push_back(
            std::make_unique<engine>(registry, "decode-" + std::to_string(i), "llm", "decode", 128, run_decode));
    registry.put("op/config", configuration(1, json::array({route("notes", "streaming", "llm", 1, false, 14'000)})));

    gateway first{folder.path, 1, registry.address()};
    gateway second{folder.path, 2, registry.address()};
    first.start();
    second.start();
    if (!first.wait_until_ready(10'000) || !second.wait_until_ready(10'000)) {
        record.line("the gateways did not become ready");
        return exit_not_run;
    }
    sleep_ms(2'000);

    tally sound;
    tally deadly;
    std::vector<std::thread> callers;
    const auto send = [&](bool is_deadly, int number, const gateway& host) {
        callers.emplace_back([&, is_deadly, number] {
            tally& counted = is_deadly ? deadly : sound;
            const std::string attempt = (is_deadly ? "d" : "5") + std::to_string(100'000 + number);
            const std::string request =
                request_text("POST", "/notes/1", attempt, 14'000,
                             {{"Model", "m"},
                              {"Token-Count", std::to_string(100 * plan.shared_parts + 200) + ",260"},
                              {"Prefix-Hash", prompt(plan, is_deadly, number)}});
            ++counted.sent;
            const auto answer = call(host.front, request, 16'000);
            const bool is_whole = answer && answer->status == 200 && answer->is_complete;
            const bool is_refused = answer && answer->status == 503;
            ++(is_whole ? counted.complete : is_refused ? counted.refused : counted.other);
            if (!is_whole || is_deadly)
                record.line("caller of " + attempt + " at " + host.name + " got " +
                            (answer ? std::to_string(answer->status) + (answer->is_complete ? " whole" : " cut")
                                    : std::string{"a closed connection"}));
        });
    };
    const long start = now_ms();
    long next_deadly = start + plan.deadly_interval_ms / 2;
    long next_sound = start;
    int number = 0;
    int deadly_sent = 0;
    while (now_ms() < start + plan.length_ms) {
        if (now_ms() >= next_sound) {
            ++number;
            send(false, number, number % 2 == 0 ? first : second);
            next_sound += plan.sound_interval_ms;
        }
        if (now_ms() >= next_deadly) {
            ++number;
            send(true, number, ++deadly_sent % 2 == 0 ? first : second);
            next_deadly += plan.deadly_interval_ms;
        }
        sleep_ms(5);
    }
    for (std::thread& caller : callers)
        caller.join();
    is_over = true;
    first.kill();
    second.kill();
    {
        const std::scoped_lock lock{restarts_mutex};
        for (std::thread& restart : restarts)
            restart.join();
    }

    const auto describe = [](const tally& counted) {
        return std::to_string(counted.sent) + " sent, " + std::to_string(counted.complete) + " whole, " +
               std::to_string(counted.refused) + " refused with 503, " + std::to_string(counted.other) +
               " cut or failed";
    };
    record.line("requests with the part: " + describe(deadly));
    record.line("requests without it: " + describe(sound));
    record.line("crashes: " + std::to_string(seen.crashes.size()));
    int late = 0;
    if (seen.crashes.size() >= crashes_that_count) {
        const long counted_from = seen.crashes[crashes_that_count - 1] + contact_ms;
        for (const arrival& each : seen.arrivals)
            late += each.at_ms > counted_from ? 1 : 0;
        record.line("later than " + std::to_string(contact_ms) + " ms after the fifth crash, " + std::to_string(late) +
                    " requests with the part reached engines; at most " + std::to_string(most_late_arrivals) + " may");
    }
    const bool is_broken = late > most_late_arrivals;
    const bool has_served = sound.complete > sound.sent / 2;
    record.line(is_broken ? "BUDGET broken" : has_served ? "held" : "too few sound requests were served to tell");
    return is_broken ? exit_broken : has_served ? exit_held : exit_not_run;
}
