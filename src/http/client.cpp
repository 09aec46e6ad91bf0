#include "http/client.h"

#include <algorithm>
#include <array>
#include <deque>
#include <optional>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "base/metrics.h"
#include "base/text.h"
#include "http/call_errors.h"
#include "http/dead_peer.h"
#include "http/response_check.h"
#include "http/server.h"

namespace radishstep::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

constexpr std::size_t max_idle_connections_per_address = 64;
/// Bound of all idle connections; a small host may have 4,100 descriptors open, callers' connections included.
constexpr std::size_t max_idle_connections = 1'024;
/// How often idle connections are checked while calls are made. Some are to endpoints that no call goes to any more.
constexpr milliseconds idle_check_interval{2'000};
constexpr std::size_t stream_read_bytes = 8UL * 1024;
/// Longest response head, and longest part of a response that must be complete to be parsed, such as a chunk header.
constexpr std::size_t max_head_bytes = 16UL * 1024;
constexpr std::size_t read_buffer_bytes = 64UL * 1024;
/// Most header lines of a response. Parsed, a short line takes over ten times its bytes.
constexpr std::size_t max_head_lines = 128;
constexpr std::size_t head_read_bytes = 4UL * 1024;
/// Applies to endpoints that announce no timeout in a Keep-Alive header.
constexpr std::chrono::seconds default_keep_alive_timeout{30};

struct connection
{
    explicit connection(const asio::any_io_executor& executor) : stream(executor) {}

    beast::tcp_stream stream;
    /// Bounded, since a chunk header without end would fill it.
    beast::flat_buffer buffer{read_buffer_bytes};
    time_point idle_since;
    runtime_clock::duration keep_alive_timeout = default_keep_alive_timeout;
};

using connection_ptr = std::shared_ptr<connection>;

/// Counts the lines of a head as it arrives.
class head_line_counter
{
public:
    /// Counts the lines in the next bytes of the response, up to the end of its head.
    void push(std::string_view bytes)
    {
        for (const char next : bytes) {
            if (this->has_ended)
                return;
            if (next == '\n') {
                ++this->lines;
                this->has_ended = std::exchange(this->line_bytes, 0) == 0;
            } else if (next != '\r') {
                ++this->line_bytes;
            }
        }
    }

    std::size_t count() const { return this->lines; }

private:
    std::size_t lines = 0;
    std::size_t line_bytes = 0;
    bool has_ended = false;
};

/// Reads and parses the head of a response; can be called again after a read that was cancelled. The lines are counted
/// before they are parsed, since they take much memory.
template <typename Parser>
asio::awaitable<error_code> read_limited_head(connection& conn, Parser& parser, head_line_counter& lines)
{
    parser.eager(false);
    error_code failure;
    while (true) {
        if (conn.buffer.size() > 0)
            conn.buffer.consume(parser.put(conn.buffer.data(), failure));
        if (failure && failure != beast::http::error::need_more)
            co_return failure;
        if (parser.is_header_done())
            co_return error_code{};
        failure = {};
        const auto room = conn.buffer.prepare(head_read_bytes);
        const std::size_t size =
            co_await conn.stream.async_read_some(room, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return failure;
        lines.push({static_cast<const char*>(room.data()), size});
        conn.buffer.commit(size);
        if (lines.count() > max_head_lines)
            co_return beast::http::error::header_limit;
    }
}

/// Returns the message of a request, whose body it refers to.
beast::http::request<beast::http::span_body<const char>> to_beast(const std::string& address, const request& outgoing)
{
    beast::http::request<beast::http::span_body<const char>> message;
    message.version(11);
    message.method_string(outgoing.method);
    message.target(outgoing.target);
    if (find_header(outgoing.lines, "Host").empty())
        message.set(beast::http::field::host, address);
    for (const header& line : outgoing.lines)
        message.insert(line.name, line.value);
    message.body() = {outgoing.body.text().data(), outgoing.body.size()};
    message.keep_alive(true);
    message.prepare_payload();
    return message;
}

template <typename Fields>
response to_response(const Fields& message)
{
    response answer;
    answer.status = message.result_int();
    for (const auto& field : message)
        answer.lines.push_back({std::string{field.name_string()}, std::string{field.value()}});
    return answer;
}

/// Returns the head that a parser has read, or a `protocol` error if the response is invalid. Everything that reads
/// responses takes their heads here.
template <typename Parser>
result<response> take_checked_head(const Parser& parser)
{
    constexpr unsigned http_1_1 = 11;
    response head = to_response(parser.get());
    const auto checked = check_response_head(head, parser.chunked() && parser.get().version() >= http_1_1);
    if (!checked)
        return tl::unexpected{checked.error()};
    return head;
}

/// Returns what a read would meet: no error if bytes have arrived, would_block if the connection is open and nothing
/// has, or how it ended. The kernel reports a reset only once; the next read would then meet a regular end.
error_code peek(connection& candidate)
{
    char next = 0;
    error_code failure;
    auto& socket = candidate.stream.socket();
    socket.non_blocking(true, failure);
    socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, failure);
    return failure;
}

/// Returns whether a connection is open and nothing has arrived on it.
bool is_quiet(connection& candidate)
{
    return peek(candidate) == asio::error::would_block;
}

/// Returns the idle timeout that the endpoint announces in its Keep-Alive header, less a margin: a request sent
/// just before the timeout could otherwise reach a connection that the endpoint is closing.
runtime_clock::duration parse_keep_alive_timeout(const response& answer)
{
    constexpr std::string_view timeout_parameter = "timeout=";
    constexpr milliseconds in_flight_margin{400};
    const std::string_view announced = find_header(answer.lines, "Keep-Alive");
    const std::size_t start = announced.find(timeout_parameter);
    if (start == std::string_view::npos)
        return default_keep_alive_timeout;
    std::string_view number = announced.substr(start + timeout_parameter.size());
    const auto seconds = to_integer(number.substr(0, number.find_first_of(", ")));
    if (!seconds)
        return default_keep_alive_timeout;
    return std::max(std::chrono::seconds{*seconds} - in_flight_margin, milliseconds{0});
}

void set_abort_hook(const call_options& options, const connection_ptr& conn)
{
    if (!options.abort)
        return;
    options.abort->set_hook([weak = std::weak_ptr<connection>{conn}] {
        if (const auto running = weak.lock())
            running->stream.close();
    });
}

void clear_abort_hook(const call_options& options)
{
    if (options.abort)
        options.abort->set_hook(nullptr);
}

} // namespace

void call_abort::abort()
{
    this->aborted = true;
    if (this->hook)
        std::exchange(this->hook, nullptr)();
}

void call_abort::set_hook(std::function<void()> next)
{
    this->hook = std::move(next);
}

bool call_abort::is_aborted() const
{
    return this->aborted;
}

struct client::idle_pool
{
    asio::any_io_executor executor;
    /// The connections of each address in the order of their last use; no entry is empty.
    std::map<std::string, std::deque<connection_ptr>> by_address;
    std::size_t idle_connections = 0;
    time_point last_check_at;
    /// Bytes beyond the guaranteed ones of all responses that call() is reading.
    std::size_t buffered_bytes = 0;
    /// Shared with the callers' connections; unset: none.
    std::shared_ptr<memory_budget> budget;

    /// Returns whether a call may use an idle connection. One on which something arrives was closed by the endpoint or
    /// carries bytes that no request asked for.
    static bool is_usable(connection& idle)
    {
        return idle.idle_since + idle.keep_alive_timeout > runtime_clock::now() && is_quiet(idle);
    }

    connection_ptr acquire_idle(const std::string& address)
    {
        const auto found = this->by_address.find(address);
        if (found == this->by_address.end())
            return nullptr;
        auto& queue = found->second;
        connection_ptr usable;
        while (!usable && !queue.empty()) {
            if (is_usable(*queue.back()))
                usable = queue.back();
            queue.pop_back();
            --this->idle_connections;
        }
        if (queue.empty())
            this->by_address.erase(found);
        return usable;
    }

    /// Closes the idle connections that no call could use.
    void close_unusable()
    {
        const time_point now = runtime_clock::now();
        if (now < this->last_check_at + idle_check_interval)
            return;
        this->last_check_at = now;
        for (auto& [address, queue] : this->by_address)
            this->idle_connections -=
                std::erase_if(queue, [](const connection_ptr& idle) { return !is_usable(*idle); });
        std::erase_if(this->by_address, [](const auto& entry) { return entry.second.empty(); });
        set_gauge("radishstep_http_idle_connections", static_cast<double>(this->idle_connections));
    }

    void close_least_recently_used()
    {
        const auto oldest = std::ranges::min_element(
            this->by_address, {}, [](const auto& entry) { return entry.second.front()->idle_since; });
        oldest->second.pop_front();
        --this->idle_connections;
        if (oldest->second.empty())
            this->by_address.erase(oldest);
    }

    void release_idle(const std::string& address, connection_ptr released)
    {
        if (released->buffer.size() != 0)
            return;
        const auto known = this->by_address.find(address);
        if (known != this->by_address.end() && known->second.size() >= max_idle_connections_per_address)
            return;
        if (this->idle_connections >= max_idle_connections)
            this->close_least_recently_used();
        released->idle_since = runtime_clock::now();
        released->stream.expires_never();
        this->by_address[address].push_back(std::move(released));
        ++this->idle_connections;
    }

    asio::awaitable<result<connection_ptr>> acquire_or_connect(std::string address, const call_options& options)
    {
        if (options.abort && options.abort->is_aborted())
            co_return fail(error_kind::not_sent, "the call was aborted", "");
        this->close_unusable();
        if (!options.fresh_connection) {
            if (connection_ptr reused = this->acquire_idle(address))
                co_return reused;
        }
        const auto endpoint = parse_address(address);
        if (!endpoint)
            co_return tl::unexpected{endpoint.error()};
        auto opened = std::make_shared<connection>(this->executor);
        set_abort_hook(options, opened);
        error_code failure;
        opened->stream.expires_after(options.connect_timeout);
        co_await opened->stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return to_connect_error(address, failure);
        enable_dead_peer_detection(opened->stream.socket());
        co_return opened;
    }

    /// Writes the request to an idle or new connection and returns the connection.
    asio::awaitable<result<connection_ptr>> send_request(std::string address, request outgoing,
                                                         const call_options& options)
    {
        auto conn = co_await this->acquire_or_connect(address, options);
        if (!conn)
            co_return conn;
        set_abort_hook(options, *conn);
        const auto message = to_beast(address, outgoing);
        error_code failure;
        (*conn)->stream.expires_after(options.idle_timeout);
        co_await beast::http::async_write((*conn)->stream, message, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return to_call_error(failure);
        co_return conn;
    }
};

namespace {

/// Cancels the read in progress after a timeout. The stream's own timeout is not used because it closes the connection,
/// so that the read could not be repeated.
class read_timer
{
public:
    read_timer(const connection_ptr& conn, milliseconds timeout)
        : expiry(conn->stream.get_executor(), runtime_clock::now() + timeout),
          has_expired(std::make_shared<bool>(false))
    {
        conn->stream.expires_never();
        this->expiry.async_wait([weak = std::weak_ptr<connection>{conn},
                                 is_over = std::weak_ptr<bool>{this->has_expired}](const error_code& cancelled) {
            // A handler that was queued before the read ended must not cancel the next one.
            const auto running = weak.lock();
            const auto expired = is_over.lock();
            if (cancelled || !running || !expired)
                return;
            *expired = true;
            running->stream.cancel();
        });
    }

    /// Returns beast::error::timeout if the timeout was the cause of a read's failure.
    error_code cause_of(const error_code& failure) const
    {
        return *this->has_expired ? error_code{beast::error::timeout} : failure;
    }

private:
    timer expiry;
    std::shared_ptr<bool> has_expired;
};

/// A response body that is read from its connection in parts. A reusable connection returns to the pool after
/// the last part; it is closed if the stream is destroyed earlier.
class connection_stream : public body_stream
{
public:
    connection_stream(connection_ptr conn, call_options options, std::shared_ptr<client::idle_pool> pool,
                      std::string address)
        : conn(std::move(conn)), options(std::move(options)), pool(std::move(pool)), address(std::move(address)),
          read_timeout(this->options.idle_timeout)
    {
        this->parser.body_limit(boost::none);
        this->parser.header_limit(max_head_bytes);
    }

    ~connection_stream() override
    {
        clear_abort_hook(this->options);
        if (!this->parser.is_done())
            this->conn->stream.close();
    }

    connection_stream(const connection_stream&) = delete;
    connection_stream& operator=(const connection_stream&) = delete;

    asio::awaitable<result<void>> read_head() override
    {
        if (this->peeked_failure)
            co_return to_call_error(this->peeked_failure);
        const read_timer timer{this->conn, this->read_timeout};
        const error_code failure = co_await read_limited_head(*this->conn, this->parser, this->head_lines);
        if (failure)
            co_return to_call_error(timer.cause_of(failure));
        auto head = take_checked_head(this->parser);
        if (!head)
            co_return tl::unexpected{head.error()};
        this->response_head = std::move(*head);
        co_return result<void>{};
    }

    const response& head() const override { return this->response_head; }

    void set_read_timeout(milliseconds timeout) override { this->read_timeout = timeout; }

    bool has_unread_bytes() override
    {
        const error_code state = peek(*this->conn);
        if (state == asio::error::would_block)
            return false;
        if (state && state != asio::error::eof)
            this->peeked_failure = state;
        return true;
    }

    asio::awaitable<result<std::string>> next() override
    {
        std::string part;
        while (part.empty() && !this->parser.is_done()) {
            if (this->peeked_failure)
                co_return to_call_error(this->peeked_failure);
            auto& body = this->parser.get().body();
            body.data = this->read_buffer.data();
            body.size = this->read_buffer.size();
            body.more = true;
            const read_timer timer{this->conn, this->read_timeout};
            error_code failure;
            co_await beast::http::async_read_some(this->conn->stream, this->conn->buffer, this->parser,
                                                  asio::redirect_error(asio::use_awaitable, failure));
            if (failure && failure != beast::http::error::need_buffer)
                co_return to_call_error(timer.cause_of(failure));
            part.assign(this->read_buffer.data(), this->read_buffer.size() - body.size);
        }
        if (part.empty() && this->parser.keep_alive() && !this->options.fresh_connection &&
            !std::exchange(this->is_released, true))
            this->pool->release_idle(this->address, this->conn);
        co_return part;
    }

private:
    connection_ptr conn;
    call_options options;
    std::shared_ptr<client::idle_pool> pool;
    std::string address;
    milliseconds read_timeout;
    beast::http::response_parser<beast::http::buffer_body> parser;
    head_line_counter head_lines;
    response response_head;
    /// Failure of the connection that has_unread_bytes() met.
    error_code peeked_failure;
    std::array<char, stream_read_bytes> read_buffer;
    bool is_released = false;
};

using response_parser = beast::http::response_parser<beast::http::string_body>;

/// Counts the bytes of one response against the limits of all responses.
class response_size
{
public:
    explicit response_size(client::idle_pool& pool) : pool(pool), budget(pool.budget)
    {
        if (this->budget)
            this->holder = this->budget->add(nullptr);
    }
    ~response_size()
    {
        this->pool.buffered_bytes -= this->counted_bytes();
        if (this->budget)
            this->budget->remove(this->holder);
    }
    response_size(const response_size&) = delete;
    response_size& operator=(const response_size&) = delete;

    /// Adds received bytes; returns false if the response has become too long.
    bool add(std::size_t received)
    {
        const std::size_t before = this->counted_bytes();
        this->bytes += received;
        this->pool.buffered_bytes += this->counted_bytes() - before;
        const bool fits = !this->budget || this->budget->hold(this->holder, this->bytes, runtime_clock::now());
        if (!fits && this->counted_bytes() > 0)
            return false;
        return this->bytes <= client::max_response_bytes &&
               (this->counted_bytes() == 0 || this->pool.buffered_bytes <= client::max_buffered_bytes);
    }

    std::size_t total() const { return this->bytes; }

private:
    std::size_t counted_bytes() const { return this->bytes - std::min(this->bytes, client::guaranteed_response_bytes); }

    client::idle_pool& pool;
    std::shared_ptr<memory_budget> budget;
    memory_budget::holder_id holder = 0;
    std::size_t bytes = 0;
};

/// Reads the response and returns its head, without the fields that may follow the last chunk of its body.
asio::awaitable<result<response>> read_response(connection& conn, client::idle_pool& pool, response_parser& parser,
                                                const call_options& options)
{
    response_size size{pool};
    head_line_counter head_lines;
    const error_code head_failure = co_await read_limited_head(conn, parser, head_lines);
    if (head_failure)
        co_return to_call_error(head_failure);
    auto head = take_checked_head(parser);
    if (!head)
        co_return tl::unexpected{head.error()};
    if (options.on_head)
        options.on_head(*head);
    while (!parser.is_done()) {
        error_code failure;
        const std::size_t received = co_await beast::http::async_read_some(
            conn.stream, conn.buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
        const bool is_too_long = failure == beast::http::error::body_limit;
        if (failure && !is_too_long)
            co_return to_call_error(failure);
        if (!size.add(received) || is_too_long) {
            count("radishstep_http_responses_too_long_total");
            co_return fail(error_kind::protocol,
                           "the response is too long, " + std::to_string(size.total()) + " bytes of it were read",
                           "see the endpoint's own log");
        }
    }
    co_return head;
}

} // namespace

client::client(asio::any_io_executor executor) : idle_connections(std::make_shared<idle_pool>())
{
    this->idle_connections->executor = std::move(executor);
}

client::~client() = default;

void client::set_memory_budget(std::shared_ptr<memory_budget> budget)
{
    this->idle_connections->budget = std::move(budget);
}

void client::close_idle()
{
    this->idle_connections->by_address.clear();
    this->idle_connections->idle_connections = 0;
}

asio::awaitable<result<response>> client::call(std::string address, request outgoing, call_options options)
{
    const auto pool = this->idle_connections;
    auto conn = co_await pool->send_request(address, std::move(outgoing), options);
    if (!conn) {
        clear_abort_hook(options);
        co_return tl::unexpected{conn.error()};
    }
    response_parser parser;
    // Refuses a longer announced length, for which the parser would reserve memory at once.
    parser.body_limit(max_response_bytes);
    parser.header_limit(max_head_bytes);
    (*conn)->stream.expires_after(options.idle_timeout);
    auto read = co_await read_response(**conn, *pool, parser, options);
    clear_abort_hook(options);
    if (!read) {
        (*conn)->stream.close();
        co_return tl::unexpected{read.error()};
    }
    auto message = parser.release();
    response answer = std::move(*read);
    answer.body = std::move(message.body());
    if (options.is_matching_response && !options.is_matching_response(answer))
        co_return fail(error_kind::protocol, "the response belongs to another call", "see the endpoint's own log");
    (*conn)->keep_alive_timeout = parse_keep_alive_timeout(answer);
    if (message.keep_alive() && !message.need_eof() && !options.fresh_connection)
        pool->release_idle(address, *conn);
    co_return answer;
}

asio::awaitable<result<std::unique_ptr<body_stream>>> client::open(std::string address, request outgoing,
                                                                   call_options options)
{
    auto stream = co_await this->send(std::move(address), std::move(outgoing), std::move(options));
    if (!stream)
        co_return stream;
    const auto read = co_await (*stream)->read_head();
    if (!read)
        co_return tl::unexpected{read.error()};
    co_return stream;
}

asio::awaitable<result<std::unique_ptr<body_stream>>> client::send(std::string address, request outgoing,
                                                                   call_options options)
{
    const auto pool = this->idle_connections;
    auto conn = co_await pool->send_request(address, std::move(outgoing), options);
    if (!conn) {
        clear_abort_hook(options);
        co_return tl::unexpected{conn.error()};
    }
    co_return std::make_unique<connection_stream>(*conn, options, pool, address);
}

} // namespace radishstep::http
