#include <cstdlib>
#include <fstream>
#include <iostream>
#include <iterator>
#include <regex>
#include <sstream>
#include <thread>

#include "site.h"

namespace {

using namespace radishstep;
using namespace radishstep::testing;

constexpr int request_tokens = 12;

/// Takes ids and times out of a session, so that two runs can be compared.
std::string normalise(std::string text)
{
    text = std::regex_replace(text, std::regex{R"(127\.\d+\.\d+\.(\d+))"}, "127.x.x.$1");
    text = std::regex_replace(text, std::regex{R"(host-(\d):\d{10,}:\d+)"}, "host-$1:ID");
    text = std::regex_replace(text, std::regex{R"("created":\d+)"}, "\"created\":0");
    text = std::regex_replace(text, std::regex{R"((^|\n)\d{13} )"}, "$1TIME ");
    text = std::regex_replace(text, std::regex{R"((broker|entry)/host-\d)"}, "$1/host-N");
    text = std::regex_replace(text, std::regex{R"((prefill|decode|service)-\d)"}, "$1-N");
    return text;
}

/// Sends one call of each kind and writes down what happened.
class session
{
public:
    explicit session(site& running) : running(running) {}

    std::string run()
    {
        const std::string streamed = this->complete("streamed completion", true, 0);
        this->complete("whole completion", false, 0);
        this->lookup();
        this->fee("a fee, sent once", "fee-1");
        this->fee("the same fee, sent again through the other host", "fee-1", 2);
        this->complete("cancelled after 3 tokens", true, 3);
        this->refusals();
        this->text << "== time line of the streamed completion\n";
        this->text << this->running.ctl({"timeline", "--request", streamed});
        return this->text.str();
    }

private:
    std::string complete(const std::string& title, bool stream, int leave_after)
    {
        completion_call wish;
        wish.address = this->running.entry(1);
        wish.prompt = "Summarise the roster of the Bratislava club. " + title;
        wish.max_tokens = leave_after > 0 ? request_tokens * 20 : request_tokens;
        wish.stream = stream;
        wish.disconnect_after_tokens = leave_after;
        const call_outcome outcome = this->running.calls().wait(this->running.calls().complete(wish));
        this->text << "== " << title << "\nstatus " << outcome.status << "\n";
        if (leave_after > 0) {
            this->text << "left; jobs still held after 3 s: " << this->jobs_after_a_moment() << "\n";
            return outcome.request;
        }
        this->text << outcome.body << (stream ? "" : "\n");
        return outcome.request;
    }

    std::size_t jobs_after_a_moment()
    {
        std::this_thread::sleep_for(std::chrono::seconds{3});
        return this->running.held_jobs().size();
    }

    void plain(const std::string& title, int host, http::request asked)
    {
        asked.lines.push_back({"Authorization", "Bearer coach-key"});
        const call_outcome outcome =
            this->running.calls().wait(this->running.calls().plain(this->running.entry(host), std::move(asked)));
        this->text << "== " << title << "\nstatus " << outcome.status << "\n" << outcome.body << "\n";
    }

    void lookup() { this->plain("plain lookup", 1, {"GET", "/entries/heat/7", {}, ""}); }

    void fee(const std::string& title, const std::string& key, int host = 1)
    {
        this->plain(title, host, {"POST", "/entries/fee", {{"Idempotency-Key", key}}, R"({"club":"Bratislava"})"});
    }

    void refusals()
    {
        this->plain("a fee without an Idempotency-Key", 1, {"POST", "/entries/fee", {}, "{}"});
        this->plain("an unknown model", 1, {"POST", "/v1/completions", {}, R"({"model":"no-such","prompt":"hello"})"});
        this->plain("bad JSON", 1, {"POST", "/v1/completions", {}, "{"});
    }

    site& running;
    std::ostringstream text;
};

} // namespace

/// Starts a small site, sends one call of each kind, prints the session and stops everything. With
/// --golden=FILE it compares the normalised session instead of printing it.
int main(int argc, char** argv)
{
    const std::string argument = argc > 1 ? argv[1] : "";
    const std::string prefix = "--golden=";
    site running{site_options{}};
    running.start();
    const std::string seen = session{running}.run();
    const bool stopped = running.stop_gracefully();
    const std::string last_line = std::string{"== stopped "} + (stopped ? "gracefully" : "NOT gracefully") + "\n";
    if (!argument.starts_with(prefix)) {
        std::cout << (argument == "--normalise" ? normalise(seen) : seen) << last_line;
        return stopped ? EXIT_SUCCESS : EXIT_FAILURE;
    }
    std::ifstream file{argument.substr(prefix.size())};
    const std::string golden{std::istreambuf_iterator<char>{file}, {}};
    const bool same = normalise(seen) + last_line == golden;
    if (!same)
        std::cout << "the session differs from the golden file:\n" << normalise(seen) << last_line;
    return same && stopped ? EXIT_SUCCESS : EXIT_FAILURE;
}
