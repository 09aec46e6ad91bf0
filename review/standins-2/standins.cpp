#include "standins.h"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <sstream>

namespace standins {

namespace {

const clock::time_point started = clock::now();

bool same_name(const std::string& left, const std::string& right)
{
    return left.size() == right.size() && std::equal(left.begin(), left.end(), right.begin(), [](char a, char b) {
               return std::tolower(static_cast<unsigned char>(a)) == std::tolower(static_cast<unsigned char>(b));
           });
}

sockaddr_in loopback(int port)
{
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    return address;
}

int bound_port(int descriptor)
{
    sockaddr_in address{};
    socklen_t size = sizeof address;
    getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

std::string percent_decoded(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

const char* base64_digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";

std::string to_base64(const std::string& bytes)
{
    std::string text;
    for (std::size_t i = 0; i < bytes.size(); i += 3) {
        unsigned group = 0;
        for (std::size_t k = 0; k < 3; ++k)
            group = group << 8 | (i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0);
        for (std::size_t k = 0; k < 4; ++k)
            text += i + k <= bytes.size() ? base64_digits[group >> (18 - 6 * k) & 63] : '=';
    }
    return text;
}

std::string from_base64(const std::string& text)
{
    std::string bytes;
    unsigned group = 0;
    int bits = 0;
    for (const char digit : text) {
        const char* found = std::strchr(base64_digits, digit);
        if (digit == '=' || found == nullptr)
            break;
        group = group << 6 | static_cast<unsigned>(found - base64_digits);
        bits += 6;
        if (bits >= 8) {
            bits -= 8;
            bytes += static_cast<char>(group >> bits & 255);
        }
    }
    return bytes;
}

} // namespace

long now_ms()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(clock::now() - started).count();
}

void sleep_ms(long duration)
{
    std::this_thread::sleep_for(std::chrono::milliseconds{duration});
}

void record(const std::string& line)
{
    static std::mutex mutex;
    const char* path = std::getenv("RECORD");
    static std::ofstream file{path == nullptr ? "record.txt" : path};
    const std::scoped_lock lock{mutex};
    file << now_ms() << " ms  " << line << std::endl;
}

bool has_trouble()
{
    const char* trouble = std::getenv("TROUBLE");
    return trouble == nullptr || std::string{trouble} != "0";
}

std::string message::header(const std::string& name) const
{
    for (const auto& [line_name, value] : this->lines) {
        if (same_name(line_name, name))
            return value;
    }
    return "";
}

std::string message::query(const std::string& name) const
{
    const std::size_t mark = this->target.find('?');
    std::istringstream pairs{mark == std::string::npos ? "" : this->target.substr(mark + 1)};
    std::string pair;
    while (std::getline(pairs, pair, '&')) {
        if (pair.substr(0, pair.find('=')) == name)
            return percent_decoded(pair.substr(pair.find('=') + 1));
    }
    return "";
}

std::unique_ptr<connection> connection::open(int port, int receive_buffer, int segment_bytes)
{
    const int descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    if (descriptor < 0)
        return nullptr;
    if (receive_buffer > 0)
        setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &receive_buffer, sizeof receive_buffer);
    if (segment_bytes > 0)
        setsockopt(descriptor, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes, sizeof segment_bytes);
    const sockaddr_in address = loopback(port);
    if (connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        ::close(descriptor);
        return nullptr;
    }
    const int on = 1;
    setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return std::make_unique<connection>(descriptor);
}

bool connection::write(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t size = send(this->descriptor, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

std::string connection::read_some(std::size_t most, long timeout_ms)
{
    if (!this->buffer.empty()) {
        std::string part = this->buffer.substr(0, most);
        this->buffer.erase(0, part.size());
        return part;
    }
    pollfd waiting{this->descriptor, POLLIN, 0};
    if (poll(&waiting, 1, static_cast<int>(timeout_ms)) <= 0)
        return "";
    std::string part(most, '\0');
    const ssize_t size = recv(this->descriptor, part.data(), most, 0);
    if (size <= 0) {
        this->is_ended = true;
        this->is_reset = size < 0;
        return "";
    }
    part.resize(static_cast<std::size_t>(size));
    return part;
}

bool connection::fill(long timeout_ms)
{
    std::string held = std::move(this->buffer);
    this->buffer.clear();
    std::string part = this->read_some(64 * 1024, timeout_ms);
    const bool has_more = !part.empty();
    this->buffer = std::move(held) + part;
    return has_more;
}

std::optional<message> connection::read_head(long timeout_ms)
{
    const long deadline = now_ms() + timeout_ms;
    std::size_t end = 0;
    while ((end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
        if (now_ms() >= deadline || !this->fill(std::max(deadline - now_ms(), 1L)))
            return std::nullopt;
    }
    std::istringstream text{this->buffer.substr(0, end + 2)};
    this->buffer.erase(0, end + 4);
    message head;
    std::string line;
    std::getline(text, line);
    std::istringstream first{line};
    first >> head.method >> head.target;
    if (head.method.starts_with("HTTP/"))
        head.status = std::atoi(head.target.c_str());
    while (std::getline(text, line) && line != "\r") {
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        while (!value.empty() && (value.back() == '\r' || value.back() == ' '))
            value.pop_back();
        head.lines.emplace_back(line.substr(0, colon), value);
    }
    return head;
}

bool connection::read_body(message& head, long timeout_ms)
{
    const long deadline = now_ms() + timeout_ms;
    const auto more = [&] { return now_ms() < deadline && this->fill(std::max(deadline - now_ms(), 1L)); };
    if (same_name(head.header("Transfer-Encoding"), "chunked")) {
        while (true) {
            std::size_t end = 0;
            while ((end = this->buffer.find("\r\n")) == std::string::npos) {
                if (!more())
                    return false;
            }
            const std::size_t size = std::stoul(this->buffer, nullptr, 16);
            while (this->buffer.size() < end + 2 + size + 2) {
                if (!more())
                    return false;
            }
            head.body += this->buffer.substr(end + 2, size);
            this->buffer.erase(0, end + 2 + size + 2);
            if (size == 0)
                break;
        }
    } else {
        const std::string length = head.header("Content-Length");
        const std::size_t size = length.empty() ? 0 : std::stoul(length);
        while (this->buffer.size() < size) {
            if (!more()) {
                head.body = this->buffer;
                return false;
            }
        }
        head.body = this->buffer.substr(0, size);
        this->buffer.erase(0, size);
    }
    head.is_complete = true;
    return true;
}

std::optional<message> connection::read_message(long timeout_ms)
{
    const long deadline = now_ms() + timeout_ms;
    auto head = this->read_head(timeout_ms);
    if (head)
        this->read_body(*head, std::max(deadline - now_ms(), 1L));
    return head;
}

bool connection::is_closed_by_peer()
{
    char next = 0;
    const ssize_t size = recv(this->descriptor, &next, 1, MSG_PEEK | MSG_DONTWAIT);
    return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
}

void connection::close()
{
    if (this->descriptor >= 0)
        ::close(this->descriptor);
    this->descriptor = -1;
}

void connection::reset()
{
    const linger at_once{1, 0};
    setsockopt(this->descriptor, SOL_SOCKET, SO_LINGER, &at_once, sizeof at_once);
    this->close();
}

std::string response_text(int status, const std::vector<std::pair<std::string, std::string>>& lines,
                          const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Answer\r\n";
    for (const auto& [name, value] : lines)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

server::server(handler_type handler, bool reads_body) : handler(std::move(handler)), reads_body(reads_body)
{
    this->descriptor = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in address = loopback(0);
    if (bind(this->descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 ||
        listen(this->descriptor, 4096) != 0)
        throw std::runtime_error{"cannot listen"};
    this->listen_port = bound_port(this->descriptor);
    this->acceptor = std::thread{[this] { this->accept_all(); }};
}

server::~server()
{
    this->is_stopped = true;
    shutdown(this->descriptor, SHUT_RDWR);
    this->acceptor.join();
    ::close(this->descriptor);
    while (true) {
        {
            const std::scoped_lock lock{this->mutex};
            if (this->open.empty())
                return;
            for (const int each : this->open)
                shutdown(each, SHUT_RDWR);
        }
        sleep_ms(5);
    }
}

void server::accept_all()
{
    while (!this->is_stopped) {
        const int accepted = accept4(this->descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            continue;
        const int on = 1;
        setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
        {
            const std::scoped_lock lock{this->mutex};
            this->open.insert(accepted);
        }
        std::thread{[this, accepted] {
            connection caller{accepted};
            constexpr long idle_ms = 120'000;
            bool keep_open = true;
            while (keep_open && !this->is_stopped) {
                auto request = caller.read_head(idle_ms);
                keep_open = request && (!this->reads_body || caller.read_body(*request, idle_ms)) &&
                            this->handler(caller, *request);
            }
            // The number may be another connection's as soon as it is closed.
            const std::scoped_lock lock{this->mutex};
            this->open.erase(accepted);
            caller.close();
        }}.detach();
    }
}

store::store() : listener([this](connection& caller, message& request) { return this->handle(caller, request); }) {}

void store::put(const std::string& key, const std::string& value)
{
    const std::scoped_lock lock{this->mutex};
    this->write(key, value, 0);
}

void store::remove(const std::string& key)
{
    const std::scoped_lock lock{this->mutex};
    this->write(key, std::nullopt, 0);
}

json store::to_json(const std::string& key, const item& entry) const
{
    return {{"key", key},
            {"value", to_base64(entry.value)},
            {"revision", entry.revision},
            {"created", entry.created},
            {"lease", entry.lease}};
}

void store::write(const std::string& key, std::optional<std::string> value, std::int64_t lease)
{
    ++this->revision;
    if (!value) {
        this->items.erase(key);
        this->history.push_back({{"key", key}, {"revision", this->revision}, {"deleted", true}});
        return;
    }
    item& entry = this->items[key];
    entry.created = entry.created == 0 ? this->revision : entry.created;
    entry.value = *value;
    entry.revision = this->revision;
    entry.lease = lease;
    this->history.push_back(this->to_json(key, entry));
}

void store::end_leases()
{
    for (auto lease = this->leases.begin(); lease != this->leases.end();) {
        if (now_ms() < lease->second.ends_at) {
            ++lease;
            continue;
        }
        std::vector<std::string> ended;
        for (const auto& [key, entry] : this->items) {
            if (entry.lease == lease->first)
                ended.push_back(key);
        }
        for (const std::string& key : ended)
            this->write(key, std::nullopt, 0);
        lease = this->leases.erase(lease);
    }
}

bool store::handle(connection& caller, message& request)
{
    if (this->before_call && !this->before_call(caller, request))
        return false;
    const auto answer = [&caller](int status, const json& body) {
        return caller.write(response_text(status, {{"Content-Type", "application/json"}}, body.dump()));
    };
    const std::string path = request.path();
    if (path == "/kv-watch") {
        const std::string prefix = request.query("prefix");
        const std::int64_t after = std::stoll(request.query("after"));
        const long deadline = now_ms() + std::stol(request.query("wait_ms"));
        while (true) {
            json events = json::array();
            std::int64_t current = 0;
            {
                const std::scoped_lock lock{this->mutex};
                this->end_leases();
                current = this->revision;
                for (const json& change : this->history) {
                    if (change["revision"] > after && change["key"].get<std::string>().starts_with(prefix))
                        events.push_back(change);
                }
            }
            if (!events.empty() || now_ms() >= deadline)
                return answer(200, {{"events", events}, {"current_rev", current}});
            if (caller.is_closed_by_peer())
                return false;
            sleep_ms(4);
        }
    }
    const std::scoped_lock lock{this->mutex};
    this->end_leases();
    if (path == "/kv-range") {
        json found = json::array();
        for (const auto& [key, entry] : this->items) {
            if (key.starts_with(request.query("prefix")))
                found.push_back(this->to_json(key, entry));
        }
        return answer(200, {{"items", found}, {"truncated", false}, {"current_rev", this->revision}});
    }
    if (path == "/kv-txn") {
        const json body = json::parse(request.body);
        for (const json& row : body.value("precondition", json::array())) {
            const auto found = this->items.find(row.at("key"));
            if ((found == this->items.end() ? 0 : found->second.revision) != row.at("revision"))
                return answer(412, {{"items", json::array()}});
        }
        for (const json& put : body.value("puts", json::array())) {
            const std::int64_t lease = put.value("lease", std::int64_t{0});
            if (lease != 0 && !this->leases.contains(lease))
                return answer(404, json::object());
        }
        for (const json& put : body.value("puts", json::array()))
            this->write(put.at("key"), from_base64(put.at("value")), put.value("lease", std::int64_t{0}));
        for (const json& key : body.value("remove", json::array()))
            this->write(key, std::nullopt, 0);
        return answer(200, {{"revision", this->revision}});
    }
    if (path == "/kv-lease") {
        const long ttl = json::parse(request.body).at("ttl_ms");
        const std::int64_t lease = this->next_lease++;
        this->leases[lease] = {ttl, now_ms() + ttl};
        return answer(200, {{"lease", lease}, {"ttl_ms", ttl}});
    }
    const std::string keep = "/kv-keep/";
    if (path.starts_with(keep)) {
        const auto found = this->leases.find(std::stoll(path.substr(keep.size())));
        if (found == this->leases.end())
            return answer(404, json::object());
        found->second.ends_at = now_ms() + found->second.ttl_ms;
        return answer(200, {{"ttl_ms", found->second.ttl_ms}});
    }
    return answer(404, json::object());
}

int free_port()
{
    // Below the ports that the system gives to connections, of which a crowd could take one before it is used.
    constexpr int first_port = 20'000;
    constexpr int port_count = 12'000;
    static std::atomic<int> next = getpid() * 37;
    while (true) {
        const int port = first_port + next++ % port_count;
        const sockaddr_in address = loopback(port);
        const int stream = socket(AF_INET, SOCK_STREAM, 0);
        const int datagrams = socket(AF_INET, SOCK_DGRAM, 0);
        const bool is_free = bind(stream, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0 &&
                             bind(datagrams, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        close(stream);
        close(datagrams);
        if (is_free)
            return port;
    }
}

gateway::gateway(const std::string& name, const std::string& store_address, const json& fields)
    : front(free_port()), ready(free_port())
{
    std::string path = std::filesystem::temp_directory_path() / "review-XXXXXX";
    if (mkdtemp(path.data()) == nullptr)
        throw std::runtime_error{"cannot create a folder"};
    this->folder = path;
    const int internal = free_port();
    const auto local = [](int port) { return "127.0.0.1:" + std::to_string(port); };
    json settings{{"node_name", name},
                  {"role", "gateway"},
                  {"machine_class", "edge"},
                  {"serves", {"edge"}},
                  {"ip", "127.0.0.1"},
                  {"zone", "sk-west-a"},
                  {"region", "sk-west"},
                  {"zones", {{"sk-west-a", "sk-west"}, {"sk-west-b", "sk-west"}, {"sk-west-c", "sk-west"}}},
                  {"listen", {{"front", local(this->front)}, {"ready", local(this->ready)}}},
                  {"internal_ports", {internal, internal}},
                  {"seeds", json::array()},
                  {"bootstrap", true},
                  {"limits",
                   {{"cpu_share", 0.25},
                    {"cores", 1},
                    {"memory_mb", 110},
                    {"max_fds", 4100},
                    {"link_mbps", 1000.0},
                    {"disk_mb", 0}}},
                  {"data_dir", nullptr},
                  {"heartbeat_ms", 1200},
                  {"bounds",
                   {{"contact_ms", 3000},
                    {"drain_ms", 2000},
                    {"grace_s", 8},
                    {"loss_slack_ms", 200},
                    {"config_apply_ms", 2000},
                    {"retry_budget_ratio", 0.2},
                    {"budget_window_s", 10},
                    {"retry_budget_slack", 56},
                    {"retry_after_s", 5.9},
                    {"require_fencing", true},
                    {"lease_ms", 3000},
                    {"thaw_ms", 300}}},
                  {"platform",
                   {{"address", store_address},
                    {"form", "kv"},
                    {"writes_per_s", 400},
                    {"reads_per_s", 2000},
                    {"history_s", 20},
                    {"value_bytes", 1048576},
                    {"ttl_min_ms", 1000}}}};
    settings.merge_patch(fields);
    const std::string settings_path = this->folder + "/node.json";
    std::ofstream{settings_path} << settings.dump(2);
    const std::string log_path = this->folder + "/log";
    const std::string variable = "RADISHSTEP_SETTINGS=" + settings_path;
    const rlim_t most_descriptors = settings["limits"]["max_fds"];
    this->process = fork();
    if (this->process == 0) {
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int log = ::open(log_path.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
        dup2(log, STDOUT_FILENO);
        dup2(log, STDERR_FILENO);
        const rlimit descriptors{most_descriptors, most_descriptors};
        setrlimit(RLIMIT_NOFILE, &descriptors);
        const char* path_variable = "PATH=/usr/bin:/bin";
        char* environment[] = {const_cast<char*>(path_variable), const_cast<char*>(variable.c_str()), nullptr};
        char* arguments[] = {const_cast<char*>("target/radishstep-gateway"), nullptr};
        execve("target/radishstep-gateway", arguments, environment);
        _exit(127);
    }
}

gateway::~gateway()
{
    if (this->is_running()) {
        kill(this->process, SIGKILL);
        waitpid(this->process, nullptr, 0);
    }
    std::error_code ignored;
    if (std::getenv("KEEP_LOG") == nullptr)
        std::filesystem::remove_all(this->folder, ignored);
    else
        std::cerr << "log: " << this->folder << "\n";
}

bool gateway::is_ready() const
{
    const auto probe = connection::open(this->ready);
    if (!probe || !probe->write("GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n"))
        return false;
    constexpr long probe_ms = 1'000;
    const auto answer = probe->read_message(probe_ms);
    return answer && answer->status == 200;
}

bool gateway::wait_ready(long timeout_ms) const
{
    const long deadline = now_ms() + timeout_ms;
    while (now_ms() < deadline) {
        if (this->is_ready())
            return true;
        sleep_ms(50);
    }
    return false;
}

void gateway::signal(int number) const
{
    kill(this->process, number);
}

bool gateway::is_running()
{
    if (this->process < 0 || !this->end.empty())
        return false;
    int status = 0;
    if (waitpid(this->process, &status, WNOHANG) != this->process)
        return true;
    this->end = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status))
                                    : "exit status " + std::to_string(WEXITSTATUS(status));
    return false;
}

double gateway::status_mb(const std::string& field) const
{
    std::ifstream file{"/proc/" + std::to_string(this->process) + "/status"};
    std::string line;
    while (std::getline(file, line)) {
        if (line.starts_with(field))
            return std::stod(line.substr(field.size())) / 1024;
    }
    return 0;
}

std::string gateway::log() const
{
    std::ifstream file{this->folder + "/log"};
    return {std::istreambuf_iterator<char>{file}, {}};
}

std::string endpoint_entry(const std::string& service, const std::string& address, int slots, const std::string& phase,
                           const std::string& state)
{
    json entry{{"service", service},     {"address", address}, {"zone", "sk-west-a"},
               {"version", "v1"},        {"slots", slots},     {"state", state},
               {"cold_remaining_ms", 0}, {"sequence", 1},      {"born", 1'790'000'000'000}};
    if (!phase.empty()) {
        entry["phase"] = phase;
        entry["models"] = json::array({{{"name", "m"}, {"version", 1}, {"adapters", json::array()}}});
    }
    return entry.dump();
}

std::string request_text(const std::string& method, const std::string& target, const std::string& id, long deadline_ms,
                         const std::string& lines, const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nHost: site.example\r\nAttempt-Id: " + id +
                       "\r\nDeadline-Ms: " + std::to_string(deadline_ms) + "\r\n" + lines;
    if (!body.empty())
        text += "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return text + "\r\n" + body;
}

void use_many_descriptors()
{
    rlimit descriptors{};
    getrlimit(RLIMIT_NOFILE, &descriptors);
    descriptors.rlim_cur = descriptors.rlim_max;
    setrlimit(RLIMIT_NOFILE, &descriptors);
}

json make_route(const std::string& prefix, const std::string& type, const std::string& service, int attempts,
                bool resumable)
{
    const bool is_stream = type == "streaming";
    return {{"name", "route" + prefix},
            {"host", "site.example"},
            {"prefix", prefix},
            {"type", type},
            {"timeout_ms", is_stream ? 14'000 : 4'000},
            {"target_latency_ms", is_stream ? 900 : 300},
            {"priority", is_stream ? 1 : 2},
            {"service", service},
            {"max_attempts", attempts},
            {"sticky", is_stream},
            {"resumable", resumable}};
}

std::string make_config(int version, const json& routes, const json& services, const json& extra)
{
    json config{{"version", version},
                {"routes", routes},
                {"services", services},
                {"limits",
                 {{"max_header_bytes", 16'384},
                  {"max_body_bytes", 4'194'304},
                  {"header_timeout_ms", 3'000},
                  {"idle_timeout_ms", 15'000}}}};
    config.merge_patch(extra);
    return config.dump();
}

int finish(int status, const std::string& reason)
{
    const std::string verdict = status == 1 ? "BROKEN: " : status == 0 ? "HELD: " : "COULD NOT RUN: ";
    record(verdict + reason);
    std::cout << verdict << reason << std::endl;
    return status;
}

int run_case(const std::function<int()>& run)
{
    signal(SIGPIPE, SIG_IGN);
    use_many_descriptors();
    int status = 2;
    try {
        status = run();
    } catch (const std::exception& failure) {
        status = finish(2, failure.what());
    }
    std::cout.flush();
    _exit(status);
}

} // namespace standins
