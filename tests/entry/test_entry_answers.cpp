#include <cppunit/extensions/HelperMacros.h>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <memory>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "base/hash.h"
#include "base/text.h"
#include "keyvalue/claim_store.h"
#include "raw_caller.h"
#include "site.h"
#include "status_relay.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;
using namespace std::chrono_literals;

constexpr const char* service_path = "/entries";
constexpr const char* body = "a body";

/// Returns whether a response is a whole refusal of the router's own.
bool is_refusal(const raw_response& response, const std::string& status)
{
    return response.is_complete && response.status == status && response.body.find("\"error\"") != std::string::npos;
}

std::string describe_response(const raw_response& response)
{
    return response.status + (response.is_complete ? ", whole: " : ", broken off: ") + response.body;
}

/// Endpoints and a store that answer radishstep-entry and radishstep-broker with an invalid status.
class test_entry_answers : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(test_entry_answers);
    CPPUNIT_TEST(status_000_of_services_reaches_no_caller);
    CPPUNIT_TEST(sound_service_answers_what_another_one_broke);
    CPPUNIT_TEST(status_000_in_prefill_and_decode_reaches_no_caller);
    CPPUNIT_TEST(status_000_to_a_stream_that_moved_adds_nothing_to_it);
    CPPUNIT_TEST(recorded_answer_with_status_000_is_not_replayed);
    CPPUNIT_TEST(status_000_of_the_store_grants_no_claim_and_tells_nothing);
    CPPUNIT_TEST(status_000_of_a_probed_engine_is_no_report);
    CPPUNIT_TEST(error_answer_is_no_list_of_hosts);
    CPPUNIT_TEST(error_answer_of_a_probed_engine_is_no_report);
    CPPUNIT_TEST_SUITE_END();

public:
    void start(bool is_relayed)
    {
        site_options options;
        options.relayed = is_relayed;
        this->running = std::make_unique<site>(options);
        this->running->start();
    }

    void tearDown() override
    {
        this->relays.clear();
        this->running.reset();
    }

    /// Puts a relay of the test's own in front of an endpoint.
    status_relay& relay(const std::string& endpoint, const status_relay::choice& change)
    {
        this->running->at("relay-" + endpoint).kill();
        const std::string target = endpoint.starts_with("service") ? this->running->service_address(endpoint)
                                                                   : this->running->engine_address(endpoint);
        const std::string address = target.substr(0, target.rfind(':')) + ":9500";
        this->relays.push_back(std::make_unique<status_relay>(address, target, change));
        return *this->relays.back();
    }

    raw_response send(int host, const std::string& method, const std::string& target, const std::string& key = "",
                      const std::string& text = body)
    {
        http::headers lines{{"Host", "site.example"}, {"Authorization", "Bearer coach-key"}};
        if (!key.empty())
            lines.push_back({"Idempotency-Key", key});
        const auto responses =
            parse_responses(exchange_bytes(this->running->entry(host), request_bytes(method, target, lines, text)));
        CPPUNIT_ASSERT(!responses.empty());
        return responses.front();
    }

    raw_response complete(bool is_stream, const std::string& prompt = "len:40 a prompt")
    {
        const nlohmann::json completion{
            {"model", "gala-notes"}, {"prompt", prompt}, {"max_tokens", 64}, {"stream", is_stream}};
        return this->send(1, "POST", "/v1/completions", "", completion.dump());
    }

    /// Returns how many calls the services have run.
    int service_runs() const
    {
        int lines = 0;
        for (const std::string& service : this->running->services()) {
            std::ifstream file{this->running->run_log_file(service)};
            for (std::string line; std::getline(file, line);)
                ++lines;
        }
        return lines;
    }

    /// Writes an answered claim for a call of the client "coach", as an entry process does.
    void store_claim(const std::string& key, const std::string& http_status)
    {
        const std::string fingerprint = sha256_hex("POST\n" + std::string{service_path} + "\n" + body);
        const claim_request request{"coach", key, "host-9:1:1", fingerprint};
        claim_record record{request.owner, fingerprint, claim_status::answered, 200, "text/plain", "engine's own"};
        std::string text = to_json(record);
        const std::string sound = "\"http_status\":200";
        text.replace(text.find(sound), sound.size(), http_status);
        this->running->calls().send(this->running->platform_address(), "PUT",
                                    "/v1/kv/" + claim_store::claim_key(request) + "?cas=0", text);
    }

    // Guards against callers of the entry that get a service's status 000 as an answer, and against calls that run
    // again although they may not be repeated.
    void status_000_of_services_reaches_no_caller()
    {
        this->start(true);
        for (const std::string& service : this->running->services())
            this->relay(service, always("000"));
        const raw_response safe = this->send(1, "GET", service_path);
        CPPUNIT_ASSERT_MESSAGE(describe_response(safe), is_refusal(safe, "502"));
        CPPUNIT_ASSERT_EQUAL(2, this->service_runs());
        const raw_response once = this->send(1, "POST", service_path, "key-1");
        CPPUNIT_ASSERT_MESSAGE(describe_response(once), is_refusal(once, "502"));
        CPPUNIT_ASSERT_MESSAGE(once.body, once.body.find("may_have_run") != std::string::npos);
        // The caller is back with its key, here and at the other host.
        for (const int host : {1, 2}) {
            const raw_response again = this->send(host, "POST", service_path, "key-1");
            CPPUNIT_ASSERT_MESSAGE(describe_response(again), is_refusal(again, "409"));
            CPPUNIT_ASSERT_MESSAGE(again.body, again.body.find("may_have_run") != std::string::npos);
        }
        CPPUNIT_ASSERT_EQUAL(3, this->service_runs());
    }

    // Guards against a repeatable call that ends with the invalid answer of its first service.
    void sound_service_answers_what_another_one_broke()
    {
        this->start(true);
        const status_relay& broken = this->relay("service-1", always("000"));
        for (int i = 0; i < 8; ++i) {
            const raw_response safe = this->send(1, "GET", service_path);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(safe.body, std::string{"200"}, safe.status);
        }
        CPPUNIT_ASSERT(broken.changed() > 0);
    }

    // Guards against completions that begin, or end as whole, with an engine's status 000.
    void status_000_in_prefill_and_decode_reaches_no_caller()
    {
        for (const char* role : {"prefill", "decode"}) {
            this->start(true);
            const std::string path = std::string{"/v1/"} + role;
            for (const std::string& engine : this->running->engines()) {
                this->relay(engine, [path](const http::request& request) {
                    return request.path() == path ? relay_change{"000"} : relay_change{};
                });
            }
            for (const bool is_stream : {true, false}) {
                const raw_response answer = this->complete(is_stream);
                CPPUNIT_ASSERT_MESSAGE(describe_response(answer),
                                       is_refusal(answer, "502") || is_refusal(answer, "504"));
            }
            int changed = 0;
            for (const auto& relay : this->relays)
                changed += relay->changed();
            CPPUNIT_ASSERT(changed > 0);
            this->tearDown();
        }
    }

    // Guards against a stream that takes an engine's status 000 for its continuation or its end.
    void status_000_to_a_stream_that_moved_adds_nothing_to_it()
    {
        this->start(true);
        const std::string prompt = "len:40 a prompt";
        const std::string whole = this->complete(false, prompt).body;
        const auto text_of = [](const std::string& json) {
            return nlohmann::json::parse(json)["choices"][0]["text"].get<std::string>();
        };
        std::atomic<int> resumed = 0;
        for (const std::string& engine : this->running->engines()) {
            this->relay(engine, [&resumed](const http::request& request) {
                if (request.path() != "/v1/decode")
                    return relay_change{};
                const auto asked = nlohmann::json::parse(request.body.text());
                const bool goes_on = asked.value("resume", false) || asked.value("offset", 0) > 0;
                if (!goes_on)
                    return relay_change{"", 300};
                return ++resumed < 3 ? relay_change{"000"} : relay_change{};
            });
        }
        const raw_response answer = this->complete(false, prompt);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, std::string{"200"}, answer.status);
        CPPUNIT_ASSERT_EQUAL(text_of(whole), text_of(answer.body));
        CPPUNIT_ASSERT(resumed >= 3);
    }

    // Failure: an answer with status 000 that an earlier version had recorded under a caller's key was replayed to the
    // caller by hosts that take no such answer themselves.
    void recorded_answer_with_status_000_is_not_replayed()
    {
        this->start(false);
        const std::vector<std::string> unusable{"\"http_status\":0",    "\"http_status\":99",
                                                "\"http_status\":100",  "\"http_status\":600",
                                                "\"http_status\":1000", "\"http_status\":-1",
                                                "\"http_status\":null", "\"http_status\":\"x\"",
                                                "\"other\":1",          "\"http_status\":200,\"body\":\"?\""};
        std::string faults;
        int number = 0;
        for (const std::string& http_status : unusable) {
            const std::string key = "key-" + std::to_string(++number);
            this->store_claim(key, http_status);
            for (const int host : {1, 2}) {
                const raw_response again = this->send(host, "POST", service_path, key);
                // The call has run, so it is neither run again nor refused as not run.
                if (!is_refusal(again, "409") || again.body.find("may_have_run") == std::string::npos)
                    faults += "\n" + http_status + ": " + describe_response(again);
            }
        }
        CPPUNIT_ASSERT_MESSAGE(faults, faults.empty());
        CPPUNIT_ASSERT_EQUAL(0, this->service_runs());
        this->store_claim("sound", "\"http_status\":201");
        const raw_response replayed = this->send(2, "POST", service_path, "sound");
        CPPUNIT_ASSERT_EQUAL_MESSAGE(replayed.body, std::string{"201"}, replayed.status);
        CPPUNIT_ASSERT_EQUAL(std::string{"engine's own"}, replayed.body);
    }

    // Guards against claims that were granted, and lists of hosts that were read, from answers with status 000.
    void status_000_of_the_store_grants_no_claim_and_tells_nothing()
    {
        this->start(false);
        const std::string platform = this->running->platform_address();
        this->running->at("platform").kill();
        {
            // Any write is granted, if its answer is believed.
            const status_relay store{platform, "", always("000"), "true"};
            const raw_response refused = this->send(1, "POST", service_path, "key-1");
            CPPUNIT_ASSERT_MESSAGE(describe_response(refused), is_refusal(refused, "503"));
            CPPUNIT_ASSERT_MESSAGE(refused.body, refused.body.find("not_run") != std::string::npos);
            CPPUNIT_ASSERT_EQUAL(0, this->service_runs());
            CPPUNIT_ASSERT(store.changed() > 0);
        }
        this->check_list_of_leaving_hosts("000");
    }

    /// Lets the store answer with a list in which a host leaves, and checks that the host goes on.
    void check_list_of_leaving_hosts(const std::string& status)
    {
        const nlohmann::json leaving = nlohmann::json::array(
            {{{"host", "host-1"}, {"address", "127.0.0.1"}, {"role", "router"}, {"state", "leaving"}}});
        const status_relay store{this->running->platform_address(), "", always(status), leaving.dump()};
        std::this_thread::sleep_for(3s);
        CPPUNIT_ASSERT(store.changed() > 0);
        CPPUNIT_ASSERT(this->running->wait_ready(1, 1));
        const raw_response safe = this->send(1, "GET", service_path);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(safe.body, std::string{"200"}, safe.status);
        std::ifstream log{this->running->folder() + "/broker-1.log"};
        const std::string lines{std::istreambuf_iterator<char>{log}, {}};
        CPPUNIT_ASSERT_MESSAGE(lines, lines.find("state=host_list_down") != std::string::npos);
    }

    // Failure: a host left since a list of hosts was read out of an error answer.
    void error_answer_is_no_list_of_hosts()
    {
        this->start(false);
        this->running->at("platform").kill();
        for (const char* status : {"404", "500", "503"})
            this->check_list_of_leaving_hosts(status);
    }

    // Guards against engines that the broker takes for usable, or leaving, on the word of an answer with status 000.
    void status_000_of_a_probed_engine_is_no_report() { this->check_report("000"); }

    // Failure: an engine counted as usable on the word of an error answer.
    void error_answer_of_a_probed_engine_is_no_report() { this->check_report("500"); }

    /// Lets an engine report its state with this status, and checks that it gets no work.
    void check_report(const std::string& status)
    {
        this->start(true);
        const status_relay& broken = this->relay("decode-1", [status](const http::request& request) {
            return request.path() == "/v1/status" ? relay_change{status} : relay_change{};
        });
        const auto is_usable = [this] {
            const int owner = std::max(this->running->owner_of_pool(), 1);
            const auto page = nlohmann::json::parse(
                this->running->calls().get(this->running->broker_admin(owner), "/status"), nullptr, false);
            if (!page.is_object() || page.at("cells").empty())
                return true;
            const auto& engines = page.at("cells").at(0).at("endpoints");
            return std::ranges::any_of(engines, [](const nlohmann::json& engine) {
                return engine.at("name") == "decode-1" && engine.at("usable") == true;
            });
        };
        // The first probes may have met the closed port of the relay before it.
        constexpr int some_probes = 6;
        const auto give_up_at = std::chrono::steady_clock::now() + 10s;
        while (broken.changed() < some_probes && std::chrono::steady_clock::now() < give_up_at)
            std::this_thread::sleep_for(50ms);
        CPPUNIT_ASSERT(broken.changed() >= some_probes);
        CPPUNIT_ASSERT(!is_usable());
        const raw_response answer = this->complete(true);
        CPPUNIT_ASSERT_EQUAL_MESSAGE(answer.body, std::string{"200"}, answer.status);
    }

private:
    std::unique_ptr<site> running;
    std::vector<std::unique_ptr<status_relay>> relays;
};

CPPUNIT_TEST_SUITE_REGISTRATION(test_entry_answers);

} // namespace
