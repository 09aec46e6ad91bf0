#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <nlohmann/json.hpp>

/// Small stand-ins of the platform's store, of endpoints and of clients, with blocking sockets on 127.0.0.1, and a
/// runner of the gateway as a process of its own. They serve the cases of this review only.
namespace standins {

using nlohmann::json;
using clock = std::chrono::steady_clock;

/// Returns the milliseconds since the start of this process.
long now_ms();
void sleep_ms(long duration);

/// Appends a line to the case's record.txt, with the time.
void record(const std::string& line);

/// Returns whether the disruption takes place: the environment's TROUBLE is not "0".
bool has_trouble();

struct message
{
    /// Method and target of a request, or status of a response.
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> lines;
    std::string body;
    /// The body has arrived whole.
    bool is_complete = false;

    std::string header(const std::string& name) const;
    std::string path() const { return this->target.substr(0, this->target.find('?')); }
    std::string query(const std::string& name) const;
};

/// A blocking connection.
class connection
{
public:
    explicit connection(int descriptor) : descriptor(descriptor) {}
    ~connection() { this->close(); }
    connection(const connection&) = delete;
    connection& operator=(const connection&) = delete;

    /// Connects to a port of 127.0.0.1. `receive_buffer` bounds what the system reads ahead, and `segment_bytes` the
    /// segments, which are far longer on a loopback address than elsewhere (0: the system's choice).
    static std::unique_ptr<connection> open(int port, int receive_buffer = 0, int segment_bytes = 0);

    bool write(const std::string& bytes);
    /// Reads some bytes; "" at the end of the connection or after `timeout_ms`.
    std::string read_some(std::size_t most, long timeout_ms);
    /// Reads the head of a request or response; nothing at the end of the connection.
    std::optional<message> read_head(long timeout_ms);
    /// Reads the rest of the message that `head` begins.
    bool read_body(message& head, long timeout_ms);
    std::optional<message> read_message(long timeout_ms);
    bool has_ended() const { return this->is_ended; }
    /// The connection ended with an error, such as a reset.
    bool was_reset() const { return this->is_reset; }
    bool is_closed_by_peer();
    void close();
    /// Closes the connection with a reset.
    void reset();
    int fd() const { return this->descriptor; }

private:
    bool fill(long timeout_ms);

    int descriptor;
    std::string buffer;
    bool is_ended = false;
    bool is_reset = false;
};

std::string response_text(int status, const std::vector<std::pair<std::string, std::string>>& lines,
                          const std::string& body);

/// Accepts connections on a free port of 127.0.0.1 and handles each one's requests in a thread of its own. The handler
/// returns whether the connection stays open. Destruction ends the connections and waits for their threads.
class server
{
public:
    using handler_type = std::function<bool(connection& caller, message& request)>;

    /// With `reads_body` false, the handler gets requests whose bodies have not been read.
    explicit server(handler_type handler, bool reads_body = true);
    ~server();

    int port() const { return this->listen_port; }
    std::string address() const { return "127.0.0.1:" + std::to_string(this->listen_port); }

private:
    void accept_all();

    handler_type handler;
    bool reads_body;
    int descriptor;
    int listen_port;
    std::atomic<bool> is_stopped = false;
    std::mutex mutex;
    /// Descriptors of the connections whose threads run.
    std::set<int> open;
    std::thread acceptor;
};

/// The platform's store: keys, revisions, watches, transactions and leases, as on the users' pages.
class store
{
public:
    store();

    void put(const std::string& key, const std::string& value);
    void remove(const std::string& key);
    std::string address() const { return this->listener.address(); }
    /// Called for each call with its sender's connection; the call is handled if it returns true.
    std::function<bool(connection& caller, message& request)> before_call;

private:
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };
    struct lease_state
    {
        long ttl_ms = 0;
        long ends_at = 0;
    };

    bool handle(connection& caller, message& request);
    void write(const std::string& key, std::optional<std::string> value, std::int64_t lease);
    void end_leases();
    json to_json(const std::string& key, const item& entry) const;

    std::mutex mutex;
    std::map<std::string, item> items;
    std::vector<json> history;
    std::map<std::int64_t, lease_state> leases;
    std::int64_t revision = 10;
    std::int64_t next_lease = 1;
    server listener;
};

/// A process of the gateway, started as the deploy file says.
class gateway
{
public:
    /// `fields` replaces fields of the settings, which are else those of a small deployment.
    gateway(const std::string& name, const std::string& store_address, const json& fields = json::object());
    ~gateway();

    int front_port() const { return this->front; }
    bool is_ready() const;
    bool wait_ready(long timeout_ms) const;
    void signal(int number) const;
    /// Returns whether the process runs; else `end` says how it ended.
    bool is_running();
    std::string end;
    /// Returns the resident memory, and its greatest size so far, in MB.
    double memory_mb() const { return this->status_mb("VmRSS:"); }
    double peak_memory_mb() const { return this->status_mb("VmHWM:"); }
    std::string log() const;

private:
    double status_mb(const std::string& field) const;

    std::string folder;
    int front;
    int ready;
    pid_t process = -1;
};

/// Returns a free port of 127.0.0.1.
int free_port();

/// Returns an endpoint's entry in the store.
std::string endpoint_entry(const std::string& service, const std::string& address, int slots,
                           const std::string& phase = "", const std::string& state = "ready");

/// Returns a client's request; `lines` are further header lines, each with its line end.
std::string request_text(const std::string& method, const std::string& target, const std::string& id, long deadline_ms,
                         const std::string& lines = "", const std::string& body = "");

/// Lets this process open as many connections as the system allows it.
void use_many_descriptors();

/// Returns a route, and a configuration with the limits of the users' small deployments.
json make_route(const std::string& prefix, const std::string& type, const std::string& service, int attempts,
                bool resumable = false);
std::string make_config(int version, const json& routes, const json& services, const json& extra = json::object());

/// Writes result and reason to the record and returns the exit status of a case: 1 broken, 0 held, 2 could not run.
int finish(int status, const std::string& reason);

/// Runs a case and ends the process with its exit status.
[[noreturn]] int run_case(const std::function<int()>& run);

} // namespace standins
