#include "site.h"

#include <signal.h>
#include <unistd.h>

#include <chrono>
#include <filesystem>
#include <fstream>
#include <iterator>
#include <stdexcept>
#include <thread>

#include <nlohmann/json.hpp>

#include "base/hash.h"

namespace radishstep::testing {

namespace {

constexpr int first_engine_ip = 20;
constexpr int first_service_ip = 120;
constexpr int platform_ip = 250;
constexpr int max_engines_per_role = 40;
constexpr std::chrono::milliseconds poll_interval{20};

int number_of(const std::string& name)
{
    return std::stoi(name.substr(name.rfind('-') + 1));
}

void write_file(const std::string& path, const std::string& text)
{
    std::ofstream{path, std::ios::binary} << text;
}

std::string read_file(const std::string& path)
{
    std::ifstream file{path, std::ios::binary};
    return {std::istreambuf_iterator<char>{file}, {}};
}

int next_site_number()
{
    static int number = 0;
    return ++number;
}

} // namespace

site::site(site_options wanted) : options(wanted)
{
    // Each site has its own addresses, so that tests can run in parallel.
    const int id = static_cast<int>(getpid()) * 7 + next_site_number();
    this->network = "127." + std::to_string(10 + id % 200) + "." + std::to_string(id / 200 % 250) + ".";
    const auto folder = std::filesystem::temp_directory_path() / ("radishstep-" + std::to_string(id));
    std::filesystem::remove_all(folder);
    std::filesystem::create_directories(folder / "overlays");
    this->directory = folder.string();
}

site::~site()
{
    this->processes.clear();
    if (std::getenv("RADISHSTEP_KEEP_LOGS") == nullptr)
        std::filesystem::remove_all(this->directory);
}

void site::start()
{
    this->start_platform();
    for (const std::string& name : this->engines())
        this->start_engine(name);
    for (const std::string& name : this->services())
        this->start_service(name);
    if (this->options.relayed) {
        for (const auto& names : {this->engines(), this->services()}) {
            for (const std::string& name : names)
                this->start_relay(name);
        }
    }
    for (int host = 1; host <= this->options.hosts; ++host) {
        this->start_broker(host);
        this->start_entry(host);
    }
    std::this_thread::sleep_for(poll_interval * 5);
    this->publish_hosts({});
    this->apply_config("", "first");
    for (int host = 1; host <= this->options.hosts; ++host) {
        if (!this->wait_ready(host))
            throw std::runtime_error("host " + std::to_string(host) + " is not ready");
    }
}

void site::start_platform()
{
    this->run("platform", "standin-platform",
              {"--listen=" + this->platform_address(), "--host-lag-ms=" + std::to_string(this->options.host_lag_ms)});
}

void site::start_engine(const std::string& name)
{
    const bool is_prefill = name.starts_with("prefill");
    this->run(name, "standin-engine",
              {"--listen=" + this->engine_address(name), std::string{"--role="} + (is_prefill ? "prefill" : "decode"),
               "--slots=" + std::to_string(is_prefill ? 1 : this->options.decode_slots),
               "--prefill-us=" + std::to_string(this->options.prefill_us),
               "--decode-us=" + std::to_string(this->options.decode_us),
               "--transfer-us=" + std::to_string(this->options.transfer_us), "--seen-log=" + this->run_log_file(name),
               "--evict-ms=" + std::to_string(this->options.evict_ms),
               "--load-lag-ms=" + std::to_string(this->options.load_lag_ms)});
}

void site::start_service(const std::string& name)
{
    this->run(name, "standin-service",
              {"--listen=" + this->service_address(name), "--run-log=" + this->run_log_file(name)});
}

void site::start_relay(const std::string& endpoint)
{
    const bool is_service = endpoint.starts_with("service");
    const std::string target = is_service ? this->service_address(endpoint) : this->engine_address(endpoint);
    this->run("relay-" + endpoint, "standin-relay",
              {"--listen=" + this->configured_address(endpoint), "--control=" + this->relay_control(endpoint),
               "--target=" + target});
}

void site::start_broker(int host)
{
    const std::string number = std::to_string(host);
    this->run("broker-" + number, "radishstep-broker",
              {"--host=host-" + number, "--zone=" + this->zone(host), "--region=sk-west", "--site=sk-west",
               "--address=" + this->ip(host), "--admin=" + this->broker_admin(host),
               "--entry-admin=" + this->entry_admin(host), "--key-value=" + this->platform_address(),
               "--host-list=" + this->platform_address()});
}

void site::start_entry(int host)
{
    const std::string number = std::to_string(host);
    this->run("entry-" + number, "radishstep-entry",
              {"--host=host-" + number, "--zone=" + this->zone(host), "--region=sk-west", "--site=sk-west",
               "--listen=" + this->entry(host), "--admin=" + this->entry_admin(host),
               "--broker=" + this->ip(host) + ":7100", "--key-value=" + this->platform_address(),
               "--silence-ms=" + std::to_string(this->options.stream_idle_timeout_ms),
               "--drain-notice-ms=" + std::to_string(this->options.drain_notice_ms),
               "--policy=" + this->options.policy});
}

std::string site::run_log_file(const std::string& endpoint) const
{
    return this->directory + "/" + endpoint + ".seen";
}

process& site::at(const std::string& name)
{
    return *this->processes.at(name);
}

bool site::has_process(const std::string& name) const
{
    return this->processes.contains(name);
}

std::string site::entry(int host) const
{
    return this->ip(host) + ":8080";
}

std::string site::entry_admin(int host) const
{
    return this->ip(host) + ":8081";
}

std::string site::broker_admin(int host) const
{
    return this->ip(host) + ":7102";
}

std::string site::engine_address(const std::string& name) const
{
    const int shift = name.starts_with("prefill") ? 0 : max_engines_per_role;
    return this->ip(first_engine_ip + shift + number_of(name)) + ":9000";
}

std::string site::service_address(const std::string& name) const
{
    return this->ip(first_service_ip + number_of(name)) + ":9100";
}

std::string site::configured_address(const std::string& endpoint) const
{
    const bool is_service = endpoint.starts_with("service");
    const std::string address = is_service ? this->service_address(endpoint) : this->engine_address(endpoint);
    return this->options.relayed ? address.substr(0, address.rfind(':')) + ":9500" : address;
}

std::string site::relay_control(const std::string& endpoint) const
{
    const std::string address = this->configured_address(endpoint);
    return address.substr(0, address.rfind(':')) + ":9501";
}

std::string site::platform_address() const
{
    return this->ip(platform_ip) + ":9200";
}

std::vector<std::string> site::engines() const
{
    std::vector<std::string> names;
    for (int i = 1; i <= this->options.prefill; ++i)
        names.push_back("prefill-" + std::to_string(i));
    for (int i = 1; i <= this->options.decode; ++i)
        names.push_back("decode-" + std::to_string(i));
    return names;
}

std::vector<std::string> site::services() const
{
    std::vector<std::string> names;
    for (int i = 1; i <= this->options.services; ++i)
        names.push_back("service-" + std::to_string(i));
    return names;
}

std::string site::ctl(const std::vector<std::string>& arguments, int* code)
{
    std::vector<std::string> all = arguments;
    const bool needs_addresses = arguments.front() != "key" && arguments.front() != "drain" &&
                                 !(arguments.size() > 1 && arguments[1] == "check");
    if (needs_addresses) {
        all.push_back("--key-value=" + this->platform_address());
        all.push_back("--broker=" + this->broker_admin(1));
    }
    const std::string output = this->directory + "/ctl.out";
    std::filesystem::remove(output);
    process command{"radishctl", all, output};
    const int result = command.wait(20);
    if (code != nullptr)
        *code = result;
    return read_file(output);
}

void site::apply_config(const std::string& extra, const std::string& note)
{
    write_file(this->directory + "/base.toml", this->base_text(extra));
    write_file(this->directory + "/overlays/sk-west.toml", "[services.entries-app]\ncall_time_ms = 1500\n");
    int code = 0;
    const std::string ctl_output =
        this->ctl({"config", "apply", "--base", this->directory + "/base.toml", "--overlays",
                   this->directory + "/overlays", "--author", "test", "--note", note, "--wait-ms", "10000"},
                  &code);
    if (code != 0)
        throw std::runtime_error("config apply failed: " + ctl_output);
}

void site::publish_hosts(const std::vector<std::string>& leaving)
{
    nlohmann::json list = nlohmann::json::array();
    const auto add = [&](const std::string& name, const std::string& address, const std::string& role) {
        const bool is_leaving = std::find(leaving.begin(), leaving.end(), name) != leaving.end();
        list.push_back({{"host", name},
                        {"address", address.substr(0, address.rfind(':'))},
                        {"role", role},
                        {"state", is_leaving ? "leaving" : "live"}});
    };
    for (int host = 1; host <= this->options.hosts; ++host)
        add("host-" + std::to_string(host), this->entry(host), "router");
    for (const std::string& name : this->engines())
        add(name, this->engine_address(name), "endpoint");
    for (const std::string& name : this->services())
        add(name, this->service_address(name), "endpoint");
    this->client.send(this->platform_address(), "PUT", "/v1/hosts", list.dump());
}

bool site::wait_ready(int host, int seconds)
{
    const auto give_up_at = std::chrono::steady_clock::now() + std::chrono::seconds{seconds};
    while (std::chrono::steady_clock::now() < give_up_at) {
        if (this->client.get(this->entry(host), "/readyz").find("true") != std::string::npos)
            return true;
        std::this_thread::sleep_for(poll_interval);
    }
    return false;
}

std::vector<std::string> site::held_jobs()
{
    std::vector<std::string> jobs;
    for (const std::string& name : this->engines()) {
        const auto json =
            nlohmann::json::parse(this->client.get(this->engine_address(name), "/v1/status"), nullptr, false);
        if (!json.is_object())
            continue;
        for (const auto& job : json["jobs"])
            jobs.push_back(name + " " + job.get<std::string>());
    }
    return jobs;
}

int site::owner_of_pool()
{
    for (int host = 1; host <= this->options.hosts; ++host) {
        const auto json = nlohmann::json::parse(this->client.get(this->broker_admin(host), "/status"), nullptr, false);
        if (json.is_object() && !json.value("cells", nlohmann::json::array()).empty())
            return host;
    }
    return 0;
}

bool site::stop_gracefully()
{
    bool all_ended_well = true;
    for (const std::string& kind : {std::string{"entry-"}, std::string{"broker-"}}) {
        for (auto& [name, running] : this->processes) {
            if (name.starts_with(kind) && running->is_running())
                running->signal(SIGTERM);
        }
        for (auto& [name, running] : this->processes) {
            if (name.starts_with(kind))
                all_ended_well = running->wait(20) == 0 && all_ended_well;
        }
    }
    return all_ended_well;
}

std::string site::ip(int last) const
{
    return this->network + std::to_string(last);
}

std::string site::zone(int index) const
{
    constexpr const char* zones[] = {"sk-west-a", "sk-west-b", "sk-west-c"};
    return zones[index % 3];
}

std::string site::base_text(const std::string& extra) const
{
    std::string text = "region = \"sk-west\"\nzones = [\"sk-west-a\", \"sk-west-b\", \"sk-west-c\"]\n";
    text += "[pools.gala-llm]\nmodels = [\"gala-notes\"]\n";
    text += "first_token_target_ms = " + std::to_string(this->options.first_token_target_ms) + "\n";
    text += "request_deadline_ms = " + std::to_string(this->options.request_deadline_ms) + "\n";
    for (const std::string& name : this->engines()) {
        const bool is_prefill = name.starts_with("prefill");
        text += "[pools.gala-llm.endpoints." + name + "]\nzone = \"" + this->zone(number_of(name)) + "\"\nrole = \"" +
                (is_prefill ? "prefill" : "decode") + "\"\naddress = \"" + this->configured_address(name) +
                "\"\nslots = " + std::to_string(is_prefill ? 1 : this->options.decode_slots) + "\n";
    }
    text += "[services.entries-app]\npath = \"/entries\"\nnon_idempotent_methods = [\"POST\"]\n";
    for (const std::string& name : this->services()) {
        text += "[services.entries-app.endpoints." + name + "]\nzone = \"" + this->zone(number_of(name)) +
                "\"\naddress = \"" + this->configured_address(name) + "\"\n";
    }
    for (const char* const client : {"coach", "parent", "night"}) {
        text += std::string{"[clients."} + client + "]\nkey_sha256 = \"" + sha256_hex(std::string{client} + "-key") +
                "\"\npools = [\"gala-llm\"]\nservices = [\"entries-app\"]\n";
    }
    return text + extra;
}

void site::run(const std::string& name, const std::string& program, const std::vector<std::string>& arguments)
{
    this->processes[name] = std::make_unique<process>(program, arguments, this->directory + "/" + name + ".log");
}

} // namespace radishstep::testing
