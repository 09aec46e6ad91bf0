#include "standins.h"

#include <set>

// A plain service with eight endpoints. One is in trouble: it fails a part of its requests with a 503 of its own after
// it has run them, without Not-Executed. The client repeats a request once after a 503, as the pages say.

using namespace standins;

namespace {

constexpr int request_count = 200;
constexpr int sound_endpoints = 7;
/// The endpoint in trouble fails 45 of 100 of its requests.
constexpr int failed_of_100 = 45;
constexpr long deadline_ms = 4'000;

int run()
{
    std::mutex mutex;
    std::set<std::string> executed;
    const auto make_endpoint = [&](const std::string& id, bool is_troubled) {
        return std::make_unique<server>([&, id, is_troubled, calls = 0](connection& caller, message& request) mutable {
            const std::string attempt = request.header("Attempt-Id");
            int status = 200;
            {
                const std::scoped_lock lock{mutex};
                executed.insert(attempt);
                if (is_troubled && has_trouble() && ++calls * failed_of_100 % 100 < failed_of_100)
                    status = 503;
            }
            constexpr long work_ms = 20;
            sleep_ms(work_ms);
            record(id + " runs " + attempt + " and answers " + std::to_string(status));
            return caller.write(response_text(status,
                                              {{"Attempt-Id", attempt}, {"Server-Signature", id + "." + attempt}},
                                              status == 200 ? "charged" : "charged, but the receipt failed"));
        });
    };
    std::vector<std::unique_ptr<server>> sound;
    for (int i = 1; i <= sound_endpoints; ++i)
        sound.push_back(make_endpoint("app-" + std::to_string(i), false));
    const auto troubled = make_endpoint("app-troubled", true);
    store platform;
    platform.put("op/config", make_config(1, json::array({make_route("/charge/", "unsafe", "app", 2)}),
                                          json::array({json{{"name", "app"}}})));
    for (int i = 1; i <= sound_endpoints; ++i)
        platform.put("servers/app-" + std::to_string(i), endpoint_entry("app", sound[i - 1]->address(), 6));
    platform.put("servers/app-troubled", endpoint_entry("app", troubled->address(), 6));
    gateway host{"edge-sk-west-a-1", platform.address()};
    constexpr long start_ms = 10'000;
    if (!host.wait_ready(start_ms))
        return finish(2, "the host did not start");
    int untrue = 0;
    int charged_twice = 0;
    int answered = 0;
    for (int i = 1; i <= request_count; ++i) {
        int charges = 0;
        for (int attempt = 1; attempt <= 2; ++attempt) {
            const std::string id = "charge-" + std::to_string(i) + "." + std::to_string(attempt);
            const auto caller = connection::open(host.front_port());
            if (!caller ||
                !caller->write(request_text("POST", "/charge/" + std::to_string(i), id, deadline_ms, "", "deposit")))
                return finish(2, "the host takes no connection");
            const auto answer = caller->read_message(deadline_ms);
            const int status = answer ? answer->status : 0;
            const std::scoped_lock lock{mutex};
            const bool has_run = executed.contains(id);
            charges += has_run ? 1 : 0;
            answered += status == 200 ? 1 : 0;
            const bool is_promise = status == 429 || status == 503 || status == 408 || status == 421;
            record(id + " answered " + std::to_string(status) + ", signature '" +
                   (answer ? answer->header("Server-Signature") : "") + "', " + (has_run ? "has run" : "not run"));
            untrue += is_promise && has_run ? 1 : 0;
            if (!is_promise)
                break;
        }
        charged_twice += charges > 1 ? 1 : 0;
    }
    if (answered == 0)
        return finish(2, "no request was served");
    return finish(untrue > 0 ? 1 : 0, std::to_string(untrue) + " requests that had run were answered 503, " +
                                          std::to_string(charged_twice) + " of " + std::to_string(request_count) +
                                          " deposits charged twice after the client's repeat");
}

} // namespace

int main()
{
    run_case(run);
}
