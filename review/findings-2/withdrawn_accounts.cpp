#include "standins.h"

#include <set>

// No case of the five: the last client accounts are withdrawn, first their keys, then the accounts themselves.

using namespace standins;

namespace {

json account(const std::string& name, const json& keys)
{
    return {{"name", name}, {"api_keys", keys}, {"priority", 1}, {"rate_per_s", 0}};
}

int run()
{
    std::mutex mutex;
    std::set<std::string> run_with_key;
    server endpoint{[&](connection& caller, message& request) {
        const std::string attempt = request.header("Attempt-Id");
        const std::string key = request.header("Api-Key");
        record("app-1 runs " + attempt + ", Tenant '" + request.header("Tenant") + "', Api-Key '" + key + "'");
        if (!key.empty()) {
            const std::scoped_lock lock{mutex};
            run_with_key.insert(attempt);
        }
        return caller.write(response_text(200, {{"Attempt-Id", attempt}, {"Server-Signature", "app-1"}}, "an answer"));
    }};
    store platform;
    const auto configure = [&platform](int version, const json& accounts) {
        platform.put("op/config", make_config(version, json::array({make_route("/once/", "unsafe", "app", 1)}),
                                              json::array({json{{"name", "app"}}}), {{"tenants", accounts}}));
        record("configuration " + std::to_string(version) + ": tenants " + accounts.dump());
        constexpr long config_apply_ms = 2'000;
        sleep_ms(config_apply_ms + 500);
    };
    platform.put("servers/app-1", endpoint_entry("app", endpoint.address(), 6));
    configure(1, json::array({account("bakery", {"key-1"}), account("diner", {"key-2"})}));
    gateway host{"edge-neng-a-1", platform.address()};
    constexpr long start_ms = 10'000;
    if (!host.wait_ready(start_ms))
        return finish(2, "the host did not start");
    const auto ask = [&host](const std::string& id) {
        constexpr long deadline_ms = 4'000;
        const auto caller = connection::open(host.front_port());
        if (!caller || !caller->write(request_text("POST", "/once/1", id, deadline_ms,
                                                   "Api-Key: key-1\r\nTenant: another\r\n", "body")))
            return 0;
        const auto answer = caller->read_message(deadline_ms);
        record(id + " answered " + std::to_string(answer ? answer->status : 0));
        return answer ? answer->status : 0;
    };
    if (ask("with-its-key") != 200)
        return finish(2, "a request with a key of the configuration was not served");
    configure(2, json::array({account("bakery", json::array()), account("diner", json::array())}));
    const int without_keys = ask("keys-withdrawn");
    if (has_trouble())
        configure(3, json::array());
    const int without_accounts = ask("accounts-withdrawn");
    const std::string seen = "answered " + std::to_string(without_keys) + " once the keys, and " +
                             std::to_string(without_accounts) + " once the accounts were withdrawn; the key reached " +
                             "the endpoint in " + std::to_string(run_with_key.size()) + " requests";
    return finish(without_keys == 200 || without_accounts == 200 ? 1 : 0, seen);
}

} // namespace

int main()
{
    run_case(run);
}
