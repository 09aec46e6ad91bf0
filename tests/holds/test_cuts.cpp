#include <cppunit/extensions/HelperMacros.h>

#include <iostream>
#include <map>

#include <nlohmann/json.hpp>

#include "answers.h"
#include "workload.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

site_options cut_site()
{
    site_options options;
    options.hosts = 2;
    options.prefill = 1;
    options.decode = 1;
    options.services = 1;
    options.relayed = true;
    options.decode_us = 500;
    options.stream_idle_timeout_ms = 200;
    return options;
}

void arm(site& running, const std::string& endpoint, const std::string& match, bool upwards, int at, bool silent)
{
    const nlohmann::json fault{{"match", match}, {"upwards", upwards}, {"at", at}, {"silent", silent}};
    running.calls().send(running.relay_control(endpoint), "POST", "/", fault.dump());
}

class holds_cuts : public CppUnit::TestFixture
{
    CPPUNIT_TEST_SUITE(holds_cuts);
    CPPUNIT_TEST(non_idempotent_at_each_cut);
    CPPUNIT_TEST(whole_answer_at_each_cut);
    CPPUNIT_TEST_SUITE_END();

    call_outcome send_fee(site& running, const std::string& key, int host)
    {
        http::request asked = http::json_request("POST", "/entries/fee", R"({"club":"x"})");
        asked.lines.push_back({"Idempotency-Key", key});
        asked.lines.push_back({"Authorization", "Bearer coach-key"});
        return running.calls().wait(running.calls().plain(running.entry(host), std::move(asked)));
    }

    /// The connection of a non-idempotent call is reset at each byte of the request and the answer: the
    /// call runs at most once, and "not run" is said only when it did not run.
    void non_idempotent_at_each_cut()
    {
        site running{cut_site()};
        running.start();
        constexpr int request_bytes = 330;
        constexpr int answer_bytes = 130;
        std::map<std::string, std::string> said;
        for (int at = 0; at < request_bytes + answer_bytes; ++at) {
            const bool upwards = at < request_bytes;
            const std::string key = "cut-" + std::to_string(at);
            arm(running, "service-1", "POST /entries", upwards, upwards ? at : at - request_bytes, false);
            const call_outcome first = this->send_fee(running, key, 1);
            const call_outcome again = this->send_fee(running, key, 2);
            said[key] = first.ran + "/" + again.ran;
            CPPUNIT_ASSERT_MESSAGE(key, !first.connection_broke && !again.connection_broke);
            if (first.whole)
                CPPUNIT_ASSERT_EQUAL_MESSAGE(key, first.body, again.body);
        }
        std::map<std::string, int> runs;
        for (const auto& line : read_run_logs(running, running.services()))
            ++runs[line.at(3)];
        std::map<std::string, int> outcomes;
        for (const auto& [key, what] : said) {
            ++outcomes[what];
            CPPUNIT_ASSERT_MESSAGE(key, runs[key] <= 1);
            if (what == "not_run/not_run")
                CPPUNIT_ASSERT_EQUAL_MESSAGE(key, 0, runs[key]);
        }
        std::cout << "positions=" << said.size() << " keys_run=" << runs.size();
        for (const auto& [what, count] : outcomes)
            std::cout << " " << what << "=" << count;
        std::cout << "\n";
    }

    /// The connection of each engine call is reset, or goes silent for good, at each byte of the request
    /// and the answer: the caller gets the whole answer all the same.
    void whole_answer_at_each_cut()
    {
        site running{cut_site()};
        running.start();
        int cuts = 0;
        cuts += this->cut_all(running, "prefill-1", "POST /v1/prefill", 220, 120, 11);
        cuts += this->cut_all(running, "decode-1", "POST /v1/decode", 300, 420, 11);
        std::cout << "cuts=" << cuts << " wrong=0\n";
    }

    int cut_all(site& running, const std::string& endpoint, const std::string& match, int request_bytes,
                int answer_bytes, int silent_every)
    {
        int cuts = 0;
        for (int at = 0; at < request_bytes + answer_bytes; at += 2) {
            const bool upwards = at < request_bytes;
            const bool silent = upwards ? false : at % silent_every == 0;
            arm(running, endpoint, match, upwards, upwards ? at : at - request_bytes, silent);
            completion_call wish;
            wish.address = running.entry(1 + cuts % 2);
            wish.prompt = "len:6 cut " + endpoint + std::to_string(at);
            const call_outcome outcome = running.calls().wait(running.calls().complete(wish));
            const std::string where = endpoint + " at " + std::to_string(at) + " " + outcome.error_kind;
            CPPUNIT_ASSERT_MESSAGE(where, outcome.whole);
            CPPUNIT_ASSERT_EQUAL_MESSAGE(where, standin::whole_answer(wish.prompt, wish.max_tokens), outcome.text);
            ++cuts;
        }
        return cuts;
    }
};

CPPUNIT_TEST_SUITE_REGISTRATION(holds_cuts);

} // namespace
