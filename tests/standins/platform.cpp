#include <deque>
#include <map>
#include <string>

#include <boost/asio/io_context.hpp>

#include "base/text.h"
#include "standin_server.h"

namespace {

namespace asio = boost::asio;
using namespace radishstep;
using namespace radishstep::standin;

constexpr milliseconds poll_time{5};

/// The platform's key-value service and host list. POST /fault takes {"outage_ms", "slow_ms",
/// "lose_answers", "stale"}; GET /calls counts the calls; PUT /v1/hosts sets the list, seen after a lag.
class platform
{
public:
    explicit platform(milliseconds lag) : host_lag(lag) {}

    asio::awaitable<void> handle(const http::request& asked, http::reply& reply)
    {
        const std::string path{asked.path()};
        if (path == "/fault") {
            this->set_fault(parse_body(asked));
            const http::response answer = json_answer(200, {{"done", true}});
            co_await reply.send(answer);
            co_return;
        }
        if (path == "/calls") {
            const http::response answer = json_answer(200, {{"reads", this->reads}, {"writes", this->writes}});
            co_await reply.send(answer);
            co_return;
        }
        if (path == "/v1/hosts") {
            co_await this->hosts(asked, reply);
            co_return;
        }
        if (this->slow > milliseconds::zero())
            co_await pause_for(this->slow);
        if (runtime_clock::now() < this->outage_until) {
            const http::response answer = json_answer(503, {{"error", "outage"}});
            co_await reply.send(answer);
            co_return;
        }
        if (asked.method == "PUT")
            co_await this->write(asked, reply);
        else
            co_await this->read(asked, reply);
    }

private:
    struct entry
    {
        std::string value;
        std::int64_t index = 0;
    };

    void set_fault(const nlohmann::json& body)
    {
        this->outage_until = runtime_clock::now() + milliseconds{body.value("outage_ms", 0)};
        this->slow = milliseconds{body.value("slow_ms", 0)};
        this->lost_answers = body.value("lose_answers", 0);
        this->stale = body.value("stale", false);
    }

    asio::awaitable<void> write(const http::request& asked, http::reply& reply)
    {
        ++this->writes;
        const std::string key{asked.path()};
        const std::int64_t expected = to_integer(asked.query("cas")).value_or(0);
        entry& found = this->entries[key];
        const bool matches = found.index == expected;
        if (matches) {
            this->earlier[key] = found;
            found = {asked.body, ++this->last_index};
        }
        if (this->lost_answers > 0) {
            --this->lost_answers;
            co_await pause_for(std::chrono::seconds{2});
            co_return;
        }
        http::response answer = http::text_response(200, matches ? "true" : "false");
        co_await reply.send(answer);
    }

    asio::awaitable<void> read(const http::request& asked, http::reply& reply)
    {
        ++this->reads;
        const std::string key{asked.path()};
        const std::int64_t known = to_integer(asked.query("index")).value_or(-1);
        const std::string wait{asked.query("wait")};
        const auto span = to_integer(std::string_view{wait}.substr(0, wait.find('m'))).value_or(0);
        const time_point until = runtime_clock::now() + milliseconds{span};
        while (known >= 0 && this->entries[key].index <= known && runtime_clock::now() < until)
            co_await pause_for(poll_time);
        const entry& found = this->stale ? this->earlier[key] : this->entries[key];
        if (found.index == 0) {
            const http::response none = http::json_response(404, "[]");
            co_await reply.send(none);
            co_return;
        }
        const http::response answer = json_answer(
            200, nlohmann::json::array({{{"Value", to_base64(found.value)}, {"ModifyIndex", found.index}}}));
        co_await reply.send(answer);
    }

    asio::awaitable<void> hosts(const http::request& asked, http::reply& reply)
    {
        const time_point now = runtime_clock::now();
        if (asked.method == "PUT") {
            this->host_versions.emplace_back(now + this->host_lag, asked.body);
            const http::response answer = json_answer(200, {{"done", true}});
            co_await reply.send(answer);
            co_return;
        }
        while (this->host_versions.size() > 1 && this->host_versions[1].first <= now)
            this->host_versions.pop_front();
        std::string list = "[]";
        if (!this->host_versions.empty())
            list = this->host_versions.front().second;
        http::response answer = http::json_response(200, std::move(list));
        co_await reply.send(std::move(answer));
    }

    std::map<std::string, entry> entries;
    std::map<std::string, entry> earlier;
    std::deque<std::pair<time_point, std::string>> host_versions;
    std::int64_t last_index = 0;
    std::int64_t reads = 0;
    std::int64_t writes = 0;
    time_point outage_until;
    milliseconds slow{0};
    milliseconds host_lag;
    int lost_answers = 0;
    bool stale = false;
};

} // namespace

int main(int argc, char** argv)
{
    asio::io_context context{1};
    platform service{milliseconds{flag(argc, argv, "host-lag-ms", 1'000)}};
    return serve(context, flag(argc, argv, "listen", "127.0.0.1:9200"),
                 [&service](const auto& asked, auto& reply) { return service.handle(asked, reply); });
}
