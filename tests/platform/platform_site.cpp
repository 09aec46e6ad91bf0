#include "platform_site.h"

#include <unistd.h>

#include <csignal>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <iterator>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/connect.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/use_future.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>
#include <nlohmann/json.hpp>

#include "http/server.h"

namespace radishstep::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
using nlohmann::json;

namespace {

json route(const std::string& prefix, const std::string& type, const std::string& service, int attempts)
{
    return {{"name", "route" + prefix},
            {"host", "site.example"},
            {"prefix", prefix},
            {"type", type},
            {"timeout_ms", type == "streaming" ? 12'000 : 3'000},
            {"target_latency_ms", 900},
            {"priority", 1},
            {"service", service},
            {"max_attempts", attempts},
            {"sticky", type == "streaming"},
            {"resumable", prefix == "/resume/"}};
}

} // namespace

asio::awaitable<site_response> call_gateway(std::string address, site_request request)
{
    constexpr std::chrono::seconds call_timeout{20};
    site_response response;
    beast::tcp_stream stream{co_await asio::this_coro::executor};
    boost::system::error_code failure;
    stream.expires_after(call_timeout);
    const auto endpoint = http::parse_address(address);
    co_await stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return response;
    beast::http::request<beast::http::string_body> message;
    message.version(11);
    message.method_string(request.method);
    message.target(request.path);
    message.set("Host", "site.example");
    message.set("Attempt-Id", request.id);
    message.set("Deadline-Ms", std::to_string(request.deadline_ms));
    for (const http::header& line : request.extra_headers)
        message.set(line.name, line.value);
    message.body() = request.body;
    message.prepare_payload();
    co_await beast::http::async_write(stream, message, asio::redirect_error(asio::use_awaitable, failure));
    if (request.disconnect_after > milliseconds{0}) {
        asio::steady_timer pause{co_await asio::this_coro::executor, request.disconnect_after};
        co_await pause.async_wait(asio::use_awaitable);
        stream.close();
        co_return response;
    }
    beast::flat_buffer buffer;
    beast::http::response_parser<beast::http::string_body> parser;
    co_await beast::http::async_read(stream, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
    response.is_complete = !failure;
    if (!parser.is_header_done())
        co_return response;
    response.status = parser.get().result_int();
    for (const auto& field : parser.get())
        response.lines.push_back({std::string{field.name_string()}, std::string{field.value()}});
    response.body = parser.get().body();
    co_return response;
}

bool wait_until(const std::function<bool()>& condition, milliseconds timeout)
{
    const auto deadline = std::chrono::steady_clock::now() + timeout;
    while (std::chrono::steady_clock::now() < deadline) {
        if (condition())
            return true;
        std::this_thread::sleep_for(milliseconds{5});
    }
    return condition();
}

platform_site::platform_site(int plain_endpoints, int prefill_engines, int decode_engines, int host_count)
    : work(asio::make_work_guard(this->io))
{
    for (int i = 1; i <= host_count; ++i) {
        site_host host;
        host.name = "host-" + std::to_string(i);
        this->hosts.push_back(std::move(host));
    }
    const std::string port = std::to_string(this->hosts.front().callers.port());
    this->directory =
        std::filesystem::temp_directory_path() / ("radishstep-site-" + std::to_string(::getpid()) + "-" + port);
    std::filesystem::create_directories(this->directory);
    const auto executor = this->io.get_executor();
    this->store = std::make_unique<standin_store>(executor);
    const auto add = [&](const std::string& id_prefix, int count, const std::string& service,
                         const std::string& phase) {
        for (int i = 0; i < count; ++i) {
            const std::string id = id_prefix + std::to_string(i);
            this->engines.emplace_back(id, std::make_unique<standin_engine>(executor, id, service, phase));
        }
    };
    add("p", plain_endpoints, "app", "");
    add("r", prefill_engines, "llm", "prefill");
    add("d", decode_engines, "llm", "decode");
    this->thread = std::thread{[this] { this->io.run(); }};
    for (const site_host& host : this->hosts)
        this->write_settings(host);
    this->write_config(1);
    this->register_engines();
}

platform_site::~platform_site()
{
    for (site_host& host : this->hosts)
        host.gateway.reset();
    this->io.stop();
    this->thread.join();
    if (!this->are_files_kept)
        std::filesystem::remove_all(this->directory);
}

const std::string& platform_site::keep_files()
{
    this->are_files_kept = true;
    return this->directory;
}

std::string platform_site::file_path(std::size_t host, const std::string& ending) const
{
    return this->directory + "/" + this->hosts[host].name + ending;
}

void platform_site::write_settings(const site_host& host) const
{
    json settings{{"node_name", host.name},
                  {"zone", "a"},
                  {"ip", "127.0.0.1"},
                  {"listen", {{"front", host.callers.text()}, {"ready", host.ready.text()}}},
                  {"internal_ports", {host.peers.port(), host.peers.port()}},
                  {"platform", {{"address", this->store->address()}, {"ttl_min_ms", 1'000}}},
                  {"bounds",
                   {{"retry_budget_ratio", 0.2},
                    {"budget_window_s", 10},
                    {"retry_budget_slack", this->retry_slack},
                    {"grace_s", 8}}}};
    if (this->memory_mb > 0)
        settings["limits"] = {{"memory_mb", this->memory_mb}, {"max_fds", this->descriptors}};
    std::ofstream{this->directory + "/" + host.name + ".json"} << settings.dump();
}

void platform_site::set_retry_slack(int retries)
{
    this->retry_slack = retries;
    for (const site_host& host : this->hosts)
        this->write_settings(host);
}

void platform_site::set_host_limits(int new_memory_mb, int new_descriptors)
{
    this->memory_mb = new_memory_mb;
    this->descriptors = new_descriptors;
    for (const site_host& host : this->hosts)
        this->write_settings(host);
}

void platform_site::set_caller_limits(int header_bytes, int body_bytes)
{
    this->max_header_bytes = header_bytes;
    this->max_body_bytes = body_bytes;
    this->write_config(1);
}

void platform_site::start_gateway(std::size_t host)
{
    this->hosts[host].gateway.emplace("radishstep-gateway",
                                      std::vector<std::string>{"--settings=" + this->file_path(host, ".json")},
                                      this->file_path(host, ".log"));
}

bool platform_site::is_ready(std::size_t host)
{
    constexpr unsigned status_ok = 200;
    site_request readiness_request;
    readiness_request.method = "GET";
    readiness_request.path = "/readyz";
    readiness_request.body.clear();
    return this->calls.wait(call_gateway(this->hosts[host].ready.text(), readiness_request)).status == status_ok;
}

bool platform_site::wait_until_ready(milliseconds timeout, std::size_t host)
{
    return wait_until([this, host] { return this->is_ready(host); }, timeout);
}

bool platform_site::wait_until_registered()
{
    // The gateway's watch reports its own key right after the write.
    constexpr milliseconds watch_time{100};
    const bool is_registered = wait_until([this] { return !this->store->keys("radishstep/hosts/").empty(); });
    std::this_thread::sleep_for(watch_time);
    return is_registered;
}

void platform_site::write_config(int version, const std::string& extra_prefix)
{
    this->put_config(version, extra_prefix, true);
}

void platform_site::write_config_without_services(int version)
{
    this->put_config(version, "", false);
}

void platform_site::put_config(int version, const std::string& extra_prefix, bool has_services)
{
    json routes = json::array();
    routes.push_back(route("/plain/", "safe", "app", 2));
    routes.push_back(route("/once/", "unsafe", "app", 2));
    routes.push_back(route("/stream/", "streaming", "llm", 1));
    routes.push_back(route("/resume/", "streaming", "llm", 2));
    if (!extra_prefix.empty())
        routes.push_back(route(extra_prefix, "safe", "app", 2));
    json services = json::array();
    if (has_services) {
        services.push_back({{"name", "app"}});
        services.push_back(
            {{"name", "llm"}, {"engine", {{"kv_capacity", 20'000}, {"stride", 13}, {"handle_ttl_s", 0.5}}}});
    }
    const json config{{"version", version},
                      {"routes", routes},
                      {"services", services},
                      {"limits",
                       {{"max_header_bytes", this->max_header_bytes},
                        {"max_body_bytes", this->max_body_bytes},
                        {"header_timeout_ms", 1'000},
                        {"idle_timeout_ms", 15'000}}}};
    this->store->put("op/config", config.dump());
}

void platform_site::register_engines()
{
    for (const auto& [id, engine] : this->engines)
        this->store->put(engine->key(), engine->entry());
}

site_response platform_site::call(const site_request& request)
{
    return this->calls.wait(call_gateway(this->callers_address(), request));
}

std::string platform_site::log(std::size_t host) const
{
    std::ifstream file{this->file_path(host, ".log")};
    return {std::istreambuf_iterator<char>{file}, {}};
}

std::string platform_site::metrics(std::size_t host)
{
    site_request scrape;
    scrape.method = "GET";
    scrape.path = "/metrics";
    scrape.body.clear();
    return this->calls.wait(call_gateway(this->peer_address(host), scrape)).body;
}

void platform_site::set_script(const answer_script& script)
{
    for (const auto& [id, engine] : this->engines)
        engine->set_script(script);
}

int platform_site::total_runs() const
{
    int sum = 0;
    for (const auto& [id, engine] : this->engines)
        sum += engine->runs();
    return sum;
}

standin_engine& platform_site::engine(const std::string& id)
{
    for (const auto& [name, engine] : this->engines) {
        if (name == id)
            return *engine;
    }
    throw std::invalid_argument{"no engine " + id};
}

} // namespace radishstep::testing
