#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

#include <nlohmann/json.hpp>

#include "raw_server.h"

namespace radishstep::testing {

/// Faults that the store can simulate.
enum class store_fault {
    none,
    /// Connections are reset.
    reset,
    /// Calls are never answered.
    unresponsive,
    /// Calls are answered 503.
    busy,
    /// Writes take effect but are not answered.
    lost_writes,
    /// Watches return no changes although keys change.
    silent_watches,
    /// Answers have a head without end.
    endless_heads,
    /// Answers have a body without end.
    endless_bodies,
};

/// Simulates the platform's store: keys, revisions, watches and leases. Runs on one executor; the public functions
/// may be called from any thread.
class standin_store
{
public:
    explicit standin_store(const boost::asio::any_io_executor& executor);

    std::string address() const { return this->server.address(); }

    /// Writes a key, as an operator or an engine does.
    void put(const std::string& key, const std::string& value);

    /// Returns the value of a key, "" if there is none.
    std::string value(const std::string& key) const;

    /// Removes a key.
    void remove(const std::string& key);

    /// Expires all leases, which removes the keys under them.
    void end_leases();

    /// Drops the history: watches with an older revision are answered 410.
    void compact();

    void set_fault(store_fault fault);

    /// Makes the bytes of each answer from its body, whatever its status, after which the connection is closed. Unset:
    /// answers are sound.
    void set_answer_form(std::function<std::string(const std::string& body)> form);

    /// Leaves the longest waiting watch of `prefix` unanswered for good, as after a short outage.
    void abandon_watch(const std::string& prefix);

    /// Returns the keys that start with `prefix`.
    std::vector<std::string> keys(const std::string& prefix) const;

    /// Returns the number of calls received.
    int calls() const;

private:
    struct item
    {
        std::string value;
        std::int64_t revision = 0;
        std::int64_t created = 0;
        std::int64_t lease = 0;
    };

    struct event
    {
        std::string key;
        std::optional<item> state;
        std::int64_t revision = 0;
    };

    boost::asio::awaitable<bool> handle_request(const http::request& request, raw_connection& caller);
    static boost::asio::awaitable<bool> send_without_end(raw_connection& caller, bool has_head);
    boost::asio::awaitable<http::response> watch(const http::request& request);
    http::response range(const http::request& request) const;
    http::response transact(const http::request& request);
    http::response handle_lease_call(const http::request& request);
    std::optional<http::response> changes_after(const std::string& prefix, std::int64_t after) const;
    int register_watch(const std::string& prefix);
    bool is_abandoned(int number) const;
    void write(const std::string& key, std::optional<std::string> value, std::int64_t lease);

    mutable std::mutex mutex;
    std::map<std::string, item> items;
    std::vector<event> history;
    std::map<std::int64_t, bool> leases;
    std::int64_t revision = 1;
    std::int64_t compacted_revision = 0;
    std::int64_t next_lease = 100;
    store_fault fault = store_fault::none;
    std::function<std::string(const std::string& body)> answer_form;
    int call_count = 0;
    /// Prefixes of the waiting watches by call number; empty for an abandoned watch.
    std::map<int, std::string> waiting;
    int last_watch_number = 0;
    raw_server server;
};

} // namespace radishstep::testing
