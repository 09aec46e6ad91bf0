#include "http/server.h"

#include <array>
#include <map>
#include <optional>
#include <stdexcept>
#include <utility>

#include <boost/asio/bind_cancellation_slot.hpp>
#include <boost/asio/buffer.hpp>
#include <boost/asio/cancellation_signal.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "base/runtime_clock.h"
#include "base/text.h"
#include "http/dead_peer.h"

namespace radishstep::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

struct server::shared_state
{
    asio::ip::tcp::acceptor listener;
    server_limits limits;
    request_handler handler;
    refusal_builder make_refusal;
    std::size_t connections = 0;
    /// Requests that are being read or handled.
    std::size_t requests = 0;
    bool is_draining = false;
    bool is_keep_alive_enabled = true;
    /// When a connection could not be accepted, until the next one is.
    std::optional<time_point> accept_failed_at;
    /// Functions that close the connections waiting for their next request, the longest waiting first.
    std::map<std::uint64_t, std::function<void()>> idle_closers;
    std::uint64_t last_idle_closer = 0;
    std::shared_ptr<memory_budget> budget = std::make_shared<memory_budget>(memory_limits{});
};

namespace {

/// Most bytes that one read takes.
constexpr std::size_t read_bytes = 16UL * 1024;

/// Room for a chunk header, also after a head that has the longest size.
constexpr std::size_t chunk_header_bytes = 4UL * 1024;

/// Memory of a connection that has read nothing yet: its coroutines and the buffer of its first read.
constexpr std::size_t connection_bytes = 12UL * 1024;

/// How often a connection that waits for memory asks again.
constexpr milliseconds memory_poll_interval{100};

/// How long the rest of a refused request is read: some round trips, after which its caller has the refusal.
constexpr milliseconds discard_time{500};

/// How long a connection without a request stays open while the server drains: a caller that has just connected sends
/// its request at once.
constexpr milliseconds draining_idle_timeout{500};

/// Pause before connections are accepted again after a failure, such as for want of descriptors.
constexpr milliseconds accept_retry_interval{50};

/// How long a failure counts. Not until the next connection: callers may have gone to other hosts.
constexpr milliseconds accept_failure_lifetime{1'000};

/// A connection stays open this much longer than its caller is told, so that a request that is sent just in time does
/// not cross the close: more than a round trip to distant callers and the delays of a busy host.
constexpr milliseconds idle_announcement_margin{1'000};

using parser_type = beast::http::request_parser<beast::http::string_body>;

request to_request(parser_type::value_type& parsed)
{
    request incoming;
    incoming.method = std::string{parsed.method_string()};
    incoming.target = std::string{parsed.target()};
    for (const auto& field : parsed)
        incoming.lines.push_back({std::string{field.name_string()}, std::string{field.value()}});
    incoming.body = std::move(parsed.body());
    return incoming;
}

/// Returns the size of the fields of a request, trailers included, about as they were sent.
std::size_t header_size(const parser_type::value_type& parsed)
{
    constexpr std::size_t separators = 4;
    std::size_t size = 0;
    for (const auto& field : parsed)
        size += field.name_string().size() + field.value().size() + separators;
    return size;
}

error to_request_error(const error_code& failure)
{
    if (failure == asio::error::no_memory)
        return {error_kind::overloaded, "this host has no memory left for the request", "send it again later"};
    if (failure == beast::error::timeout)
        return {error_kind::timed_out, "the request did not arrive in time", "send the whole request without pauses"};
    if (failure == beast::http::error::body_limit)
        return {error_kind::too_large, "the body is too large", "send a shorter body"};
    if (failure == beast::http::error::header_limit || failure == beast::http::error::buffer_overflow)
        return {error_kind::too_large, "the header is too large", "send fewer or shorter header lines"};
    return {error_kind::bad_request, "malformed HTTP request: " + failure.message(), "send one HTTP/1.1 request"};
}

bool is_parse_error(const error_code& failure)
{
    const bool is_http = failure.category() == make_error_code(beast::http::error::bad_method).category();
    const bool is_disconnect =
        failure == beast::http::error::end_of_stream || failure == beast::http::error::partial_message;
    return is_http && !is_disconnect;
}

/// Counts a request while it is read and handled.
class request_count
{
public:
    explicit request_count(std::size_t& requests) : requests(requests) { ++this->requests; }
    ~request_count() { --this->requests; }
    request_count(const request_count&) = delete;
    request_count& operator=(const request_count&) = delete;

private:
    std::size_t& requests;
};

/// One caller's connection: reads its requests one after another and sends their responses.
class session : public reply, public std::enable_shared_from_this<session>
{
public:
    session(asio::ip::tcp::socket socket, std::shared_ptr<server::shared_state> state)
        : stream(std::move(socket)), read_timer(this->stream.get_executor()), state(std::move(state)),
          budget(this->state->budget), holder(this->budget->add([this] { this->end_for_memory(); }))
    {
        ++this->state->connections;
        enable_dead_peer_detection(this->stream.socket());
    }

    ~session() override
    {
        this->budget->remove(this->holder);
        --this->state->connections;
    }
    session(const session&) = delete;
    session& operator=(const session&) = delete;

    asio::awaitable<void> run()
    {
        try {
            bool keep_open = true;
            while (keep_open)
                keep_open = co_await this->serve_request();
            this->record_unread_request();
        } catch (const std::exception& thrown) {
            count("radishstep_http_sessions_failed_total");
            log_problem("session_failed", {{"cause", thrown.what()}});
        }
        error_code ignored;
        this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
    }

    asio::awaitable<bool> send(response answer) override
    {
        beast::http::response<beast::http::string_body> message;
        message.result(answer.status);
        for (const header& line : answer.lines)
            message.insert(line.name, line.value);
        message.body() = std::move(answer.body);
        this->set_keep_alive(message);
        message.prepare_payload();
        this->is_head_sent = true;
        this->budget->hold(this->holder, this->request_bytes + message.body().size(), runtime_clock::now());
        this->budget->start_transfer(this->holder, runtime_clock::now());
        beast::http::response_serializer<beast::http::string_body> serializer{message};
        error_code failure;
        this->stream.expires_after(this->state->limits.write_timeout);
        while (!failure && !serializer.is_done()) {
            const std::size_t size = co_await beast::http::async_write_some(
                this->stream, serializer, asio::redirect_error(asio::use_awaitable, failure));
            this->budget->record_progress(this->holder, size);
        }
        this->budget->end_transfer(this->holder);
        this->budget->hold(this->holder, this->request_bytes, runtime_clock::now());
        co_return this->record_write(failure);
    }

    asio::awaitable<bool> begin(response head) override
    {
        beast::http::response<beast::http::empty_body> message;
        message.result(head.status);
        for (const header& line : head.lines)
            message.insert(line.name, line.value);
        this->set_keep_alive(message);
        message.chunked(true);
        this->is_head_sent = true;
        this->is_chunked_open = true;
        beast::http::response_serializer<beast::http::empty_body> serializer{message};
        error_code failure;
        this->stream.expires_after(this->state->limits.write_timeout);
        co_await beast::http::async_write_header(this->stream, serializer,
                                                 asio::redirect_error(asio::use_awaitable, failure));
        co_return this->record_write(failure);
    }

    asio::awaitable<bool> write(std::string part) override
    {
        error_code failure;
        this->stream.expires_after(this->state->limits.write_timeout);
        co_await asio::async_write(this->stream, beast::http::make_chunk(asio::buffer(part)),
                                   asio::redirect_error(asio::use_awaitable, failure));
        co_return this->record_write(failure);
    }

    asio::awaitable<bool> finish() override
    {
        this->is_chunked_open = false;
        error_code failure;
        this->stream.expires_after(this->state->limits.write_timeout);
        co_await asio::async_write(this->stream, beast::http::make_chunk_last(),
                                   asio::redirect_error(asio::use_awaitable, failure));
        co_return this->record_write(failure);
    }

    void on_caller_disconnected(std::function<void()> hook) override { this->disconnect_hook = std::move(hook); }

private:
    bool may_keep_alive() const { return this->wants_keep_alive && this->state->is_keep_alive_enabled; }

    /// Tells the caller whether and for how long the connection stays open for its next request.
    template <typename Message>
    void set_keep_alive(Message& message)
    {
        this->is_kept_open = this->may_keep_alive();
        message.keep_alive(this->is_kept_open);
        this->announced_idle_time = std::chrono::floor<std::chrono::seconds>(
            std::max<milliseconds>(this->state->limits.idle_timeout - idle_announcement_margin, milliseconds{0}));
        if (this->is_kept_open && this->announced_idle_time > std::chrono::seconds{0})
            message.set(beast::http::field::keep_alive, "timeout=" + std::to_string(this->announced_idle_time.count()));
    }

    /// Returns how long the connection waits for its next request: as long as the caller was told, even if the limit
    /// has been lowered since.
    milliseconds idle_timeout() const
    {
        if (this->announced_idle_time == std::chrono::seconds{0})
            return this->state->limits.idle_timeout;
        return std::max<milliseconds>(this->state->limits.idle_timeout,
                                      this->announced_idle_time + idle_announcement_margin);
    }

    bool record_write(const error_code& failure)
    {
        if (failure)
            this->is_broken = true;
        return !failure;
    }

    asio::awaitable<bool> serve_request()
    {
        this->is_head_sent = false;
        this->release_memory();
        if (this->buffer.size() == 0 && co_await this->read_first_bytes())
            co_return false;
        // The limits may have changed while the connection was idle.
        auto parser = std::make_unique<parser_type>();
        const std::size_t header_bytes = this->state->limits.header_bytes;
        parser->header_limit(static_cast<std::uint32_t>(header_bytes));
        parser->body_limit(this->state->limits.body_bytes);
        this->max_buffer_bytes = header_bytes + read_bytes;
        const request_count counted{this->state->requests};
        this->budget->start_transfer(this->holder, runtime_clock::now());
        error_code failure = co_await this->read_request(*parser);
        this->budget->end_transfer(this->holder);
        if (!failure && header_size(parser->get()) > header_bytes)
            failure = beast::http::error::header_limit;
        if (failure) {
            parser.reset();
            co_await this->refuse_unreadable_request(failure);
            co_return false;
        }
        auto parsed = parser->release();
        parser.reset();
        this->wants_keep_alive = parsed.keep_alive();
        const request incoming = to_request(parsed);
        this->hold_request(incoming);
        co_await this->handle_request(incoming);
        ++this->handled_requests;
        co_return !this->is_broken && !this->is_chunked_open && this->is_head_sent && this->stays_open();
    }

    /// Returns whether the connection waits for its next request. A stop that begins inside an answer does not close
    /// it: the answer's head has told the caller that it stays open.
    bool stays_open()
    {
        const bool has_next_request = this->buffer.size() > 0 || this->has_unread_bytes();
        return this->is_kept_open && (!this->state->is_draining || has_next_request);
    }

    asio::awaitable<error_code> read_request(parser_type& parser)
    {
        error_code failure;
        this->start_read_timeout(this->state->limits.header_timeout);
        parser.eager(false);
        const std::function<bool()> is_head_read = [&parser] { return parser.is_header_done(); };
        failure = co_await this->read_until(parser, is_head_read);
        if (failure)
            co_return this->end_read_timeout(failure);
        if (beast::iequals(parser.get()[beast::http::field::expect], "100-continue"))
            co_await this->send_continue();
        this->start_read_timeout(this->state->limits.body_timeout);
        const std::size_t header_bytes = header_size(parser.get());
        // Also the longest trailer, which is parsed when the whole of it has arrived.
        this->max_buffer_bytes = chunk_header_bytes + this->state->limits.header_bytes -
                                 std::min(header_bytes, this->state->limits.header_bytes);
        this->head_bytes = 2 * header_bytes;
        this->announced_bytes = static_cast<std::size_t>(parser.content_length().value_or(0));
        parser.eager(true);
        const std::function<bool()> is_request_read = [&parser] { return parser.is_done(); };
        failure = co_await this->read_until(parser, is_request_read);
        co_return this->end_read_timeout(failure);
    }

    /// Reads and parses until `is_read` returns true. The parser is not left to the stream's own reads: what it throws
    /// there ends the process.
    asio::awaitable<error_code> read_until(parser_type& parser, std::function<bool()> is_read)
    {
        while (!is_read()) {
            const std::size_t parsed_bytes = this->buffer.size() > 0 ? this->parse(parser) : 0;
            if (this->parse_failure && this->parse_failure != beast::http::error::need_more)
                co_return this->parse_failure;
            if (parsed_bytes > 0 && !this->parse_failure)
                continue;
            if (const error_code failure = co_await this->read_more(parser))
                co_return failure;
        }
        co_return error_code{};
    }

    /// Reads some bytes into the buffer, once there is memory for them.
    asio::awaitable<error_code> read_more(parser_type& parser)
    {
        if (this->buffer.size() >= this->max_buffer_bytes)
            co_return beast::http::error::buffer_overflow;
        const std::size_t next_bytes = std::min(read_bytes, this->max_buffer_bytes - this->buffer.size());
        const std::size_t body_bytes = parser.get().body().size() + next_bytes;
        const std::size_t needed = connection_bytes + this->buffer.size() + next_bytes + this->head_bytes +
                                   std::max(this->announced_bytes, body_bytes);
        memory_verdict verdict = this->budget->request(this->holder, needed, runtime_clock::now());
        while (verdict == memory_verdict::wait && !this->has_timed_out) {
            co_await pause_for(memory_poll_interval);
            verdict = this->budget->request(this->holder, needed, runtime_clock::now());
        }
        if (verdict == memory_verdict::refused || this->has_timed_out)
            co_return asio::error::no_memory;
        error_code failure;
        const std::size_t size = co_await this->stream.async_read_some(
            this->buffer.prepare(next_bytes), asio::redirect_error(asio::use_awaitable, failure));
        this->buffer.commit(size);
        this->budget->record_progress(this->holder, size);
        if (this->is_ended_for_memory)
            co_return asio::error::no_memory;
        if (failure == asio::error::eof)
            co_return parser.got_some() ? beast::http::error::partial_message : beast::http::error::end_of_stream;
        co_return failure;
    }

    /// Parses the bytes in the buffer; returns how many were used.
    std::size_t parse(parser_type& parser)
    {
        this->parse_failure = {};
        std::size_t used = 0;
        try {
            used = parser.put(this->buffer.data(), this->parse_failure);
        } catch (const std::length_error&) {
            // The HTTP library cannot store lines of 64 KiB.
            this->parse_failure = beast::http::error::header_limit;
        }
        this->buffer.consume(used);
        return used;
    }

    /// Counts a request that is handled: its body and, about, its head.
    void hold_request(const request& incoming)
    {
        this->request_bytes = connection_bytes + this->buffer.size() + this->head_bytes + incoming.body.size();
        this->budget->hold(this->holder, this->request_bytes, runtime_clock::now());
    }

    /// Gives the memory of the last request back.
    void release_memory()
    {
        if (this->buffer.size() == 0)
            this->buffer.shrink_to_fit();
        this->head_bytes = 0;
        this->announced_bytes = 0;
        this->request_bytes = connection_bytes + this->buffer.size();
        this->budget->hold(this->holder, this->request_bytes, runtime_clock::now());
    }

    /// Ends a transfer that is too slow while others need its memory.
    void end_for_memory()
    {
        this->is_ended_for_memory = true;
        error_code ignored;
        if (this->is_head_sent)
            this->stream.close();
        else
            this->stream.socket().cancel(ignored);
    }

    /// Waits for the next request. Until its first bytes arrive, the connection may be closed without a response.
    asio::awaitable<error_code> read_first_bytes()
    {
        constexpr std::size_t first_read_bytes = 4'096;
        error_code failure;
        const milliseconds idle_timeout = this->idle_timeout();
        this->start_read_timeout(this->state->is_draining ? std::min(idle_timeout, draining_idle_timeout)
                                                          : idle_timeout);
        const std::uint64_t closer = ++this->state->last_idle_closer;
        this->state->idle_closers.emplace(closer, [this] {
            error_code ignored;
            this->stream.socket().cancel(ignored);
        });
        std::size_t size = 0;
        do {
            size = co_await this->stream.async_read_some(this->buffer.prepare(first_read_bytes),
                                                         asio::redirect_error(asio::use_awaitable, failure));
            // A request that has arrived is answered although the read was cancelled before it got the bytes.
        } while (failure == asio::error::operation_aborted && this->has_unread_bytes());
        this->state->idle_closers.erase(closer);
        this->buffer.commit(size);
        const error_code cause = this->end_read_timeout(failure);
        if (cause == beast::error::timeout)
            count("radishstep_http_idle_connections_closed_total");
        co_return cause;
    }

    /// Cancels the read in progress after `read_timeout`. The stream's own timeout is not used because it closes the
    /// connection, so that no refusal could be sent.
    void start_read_timeout(milliseconds read_timeout)
    {
        this->stream.expires_never();
        this->has_timed_out = false;
        this->read_timer.expires_after(read_timeout);
        this->read_timer.async_wait([self = this->shared_from_this()](const error_code& canceled) {
            // A handler that was queued before the timer was restarted must not cancel the new read.
            if (canceled || self->read_timer.expiry() > runtime_clock::now())
                return;
            self->has_timed_out = true;
            error_code ignored;
            self->stream.socket().cancel(ignored);
        });
    }

    /// Stops the read timer; returns beast::error::timeout if it was the cause of `failure`.
    error_code end_read_timeout(const error_code& failure)
    {
        this->read_timer.cancel();
        return failure && this->has_timed_out ? beast::error::timeout : failure;
    }

    asio::awaitable<void> send_continue()
    {
        beast::http::response<beast::http::empty_body> interim_response{beast::http::status::continue_, 11};
        error_code ignored;
        co_await beast::http::async_write(this->stream, interim_response,
                                          asio::redirect_error(asio::use_awaitable, ignored));
    }

    asio::awaitable<void> refuse_unreadable_request(const error_code& failure)
    {
        const bool is_out_of_memory = failure == asio::error::no_memory;
        const bool is_answerable = is_parse_error(failure) || failure == beast::error::timeout || is_out_of_memory;
        if (!is_answerable) {
            count("radishstep_http_requests_incomplete_total");
            co_return;
        }
        if (!is_out_of_memory)
            count("radishstep_http_malformed_total");
        this->buffer.clear();
        this->release_memory();
        this->wants_keep_alive = false;
        co_await this->send(this->state->make_refusal(to_request_error(failure)));
        co_await this->discard_rest();
    }

    /// Drops what a refused caller still sends: a close with unread bytes resets the connection, which can destroy the
    /// refusal on its way.
    asio::awaitable<void> discard_rest()
    {
        error_code failure;
        this->stream.socket().shutdown(asio::ip::tcp::socket::shutdown_send, failure);
        this->start_read_timeout(discard_time);
        std::array<char, 4'096> dropped{};
        while (!failure && !this->has_timed_out)
            co_await this->stream.async_read_some(asio::buffer(dropped),
                                                  asio::redirect_error(asio::use_awaitable, failure));
        this->read_timer.cancel();
    }

    asio::awaitable<void> handle_request(const request& incoming)
    {
        this->watch_for_disconnect();
        std::optional<error> failure;
        try {
            co_await this->state->handler(incoming, *this);
        } catch (const std::exception& thrown) {
            log_problem("handler_failed", {{"target", incoming.target}, {"cause", thrown.what()}});
            failure = error{error_kind::protocol, "internal error", "report it with the log line handler_failed"};
        }
        this->stop_watching();
        if (failure && !this->is_head_sent)
            co_await this->send(this->state->make_refusal(*failure));
    }

    void watch_for_disconnect()
    {
        this->is_watching = true;
        auto on_readable = [self = this->shared_from_this()](const error_code& failure) {
            // Bytes of a next request hide the close.
            const bool has_next_request = self->buffer.size() > 0;
            if (!failure && self->is_watching && !has_next_request && self->has_caller_closed())
                self->handle_disconnect();
        };
        this->stream.socket().async_wait(
            asio::ip::tcp::socket::wait_read,
            asio::bind_cancellation_slot(this->watch_cancel.slot(), std::move(on_readable)));
    }

    void stop_watching()
    {
        this->is_watching = false;
        this->disconnect_hook = nullptr;
        this->watch_cancel.emit(asio::cancellation_type::all);
    }

    /// Counts a request that arrived while the connection was being closed; its caller gets no answer.
    void record_unread_request()
    {
        // Bytes after a refused or last request are no request of their own.
        const bool is_next_request_expected = !this->is_broken && this->wants_keep_alive;
        if (!is_next_request_expected || (this->buffer.size() == 0 && !this->has_unread_bytes()))
            return;
        count("radishstep_http_requests_unread_total");
        log_decision("request_unread", {{"handled_before", std::to_string(this->handled_requests)}});
    }

    bool has_unread_bytes()
    {
        error_code failure;
        return this->stream.socket().available(failure) > 0;
    }

    bool has_caller_closed()
    {
        std::array<char, 1> next{};
        error_code failure;
        this->stream.socket().non_blocking(true, failure);
        const std::size_t size =
            this->stream.socket().receive(asio::buffer(next), asio::socket_base::message_peek, failure);
        if (failure == asio::error::would_block)
            return false;
        return failure || size == 0;
    }

    void handle_disconnect()
    {
        this->is_broken = true;
        if (this->disconnect_hook)
            std::exchange(this->disconnect_hook, nullptr)();
    }

    beast::tcp_stream stream;
    timer read_timer;
    beast::flat_buffer buffer;
    std::shared_ptr<server::shared_state> state;
    std::shared_ptr<memory_budget> budget;
    memory_budget::holder_id holder;
    /// Bound of the bytes that are read and not parsed.
    std::size_t max_buffer_bytes = 0;
    /// Memory of the current request's head, announced size of its body, and memory of the request that is handled.
    std::size_t head_bytes = 0;
    std::size_t announced_bytes = 0;
    std::size_t request_bytes = connection_bytes;
    error_code parse_failure;
    std::function<void()> disconnect_hook;
    asio::cancellation_signal watch_cancel;
    std::chrono::seconds announced_idle_time{0};
    /// Requests handled on this connection.
    int handled_requests = 0;
    bool is_watching = false;
    bool is_ended_for_memory = false;
    bool has_timed_out = false;
    bool wants_keep_alive = true;
    bool is_head_sent = false;
    bool is_chunked_open = false;
    bool is_broken = false;
    /// What the latest answer's head told the caller.
    bool is_kept_open = false;
};

void start_session(asio::ip::tcp::socket socket, const std::shared_ptr<server::shared_state>& state)
{
    if (state->connections >= state->limits.connections && !state->idle_closers.empty()) {
        count("radishstep_http_idle_connections_evicted_total");
        state->idle_closers.begin()->second();
        state->idle_closers.erase(state->idle_closers.begin());
    } else if (state->connections >= state->limits.connections) {
        count("radishstep_http_connections_refused_total");
        return;
    }
    const auto caller = std::make_shared<session>(std::move(socket), state);
    asio::co_spawn(
        state->listener.get_executor(), [caller] { return caller->run(); }, asio::detached);
}

asio::awaitable<void> accept_connections(std::shared_ptr<server::shared_state> state)
{
    while (!state->is_draining) {
        error_code failure;
        auto socket = co_await state->listener.async_accept(asio::redirect_error(asio::use_awaitable, failure));
        if (failure == asio::error::operation_aborted || failure == asio::error::bad_descriptor)
            co_return;
        if (failure) {
            count("radishstep_http_accept_failures_total");
            if (!state->accept_failed_at)
                log_problem("accept_failed", {{"cause", failure.message()}});
            state->accept_failed_at = runtime_clock::now();
            co_await pause_for(accept_retry_interval);
            continue;
        }
        if (std::exchange(state->accept_failed_at, std::nullopt))
            log_state("accept_resumed", {});
        start_session(std::move(socket), state);
    }
}

/// Accepts the connections that callers have opened already, since closing the listener would reset them.
void accept_pending(const std::shared_ptr<server::shared_state>& state)
{
    error_code failure;
    state->listener.non_blocking(true, failure);
    while (!failure) {
        auto socket = state->listener.accept(failure);
        if (!failure)
            start_session(std::move(socket), state);
    }
}

} // namespace

server::server(asio::ip::tcp::acceptor listener, server_limits limits, request_handler handler,
               refusal_builder make_refusal)
    : state(std::make_shared<shared_state>(shared_state{std::move(listener),
                                                        limits,
                                                        std::move(handler),
                                                        std::move(make_refusal),
                                                        0,
                                                        0,
                                                        false,
                                                        true,
                                                        std::nullopt,
                                                        {}}))
{
}

server::~server()
{
    this->state->is_draining = true;
    this->state->is_keep_alive_enabled = false;
    error_code ignored;
    this->state->listener.close(ignored);
}

void server::set_memory_budget(std::shared_ptr<memory_budget> budget)
{
    this->state->budget = std::move(budget);
}

void server::start()
{
    asio::co_spawn(
        this->state->listener.get_executor(), [state = this->state] { return accept_connections(state); },
        asio::detached);
}

void server::drain()
{
    if (std::exchange(this->state->is_draining, true))
        return;
    this->state->is_keep_alive_enabled = false;
    accept_pending(this->state);
    error_code ignored;
    this->state->listener.close(ignored);
}

void server::disable_keep_alive()
{
    this->state->is_keep_alive_enabled = false;
}

void server::close_idle()
{
    const auto closers = this->state->idle_closers;
    for (const auto& [session, close] : closers)
        close();
}

void server::set_limits(server_limits limits)
{
    this->state->limits = limits;
}

std::size_t server::requests_in_progress() const
{
    return this->state->requests;
}

bool server::has_accept_failed() const
{
    const auto& failed_at = this->state->accept_failed_at;
    return failed_at && runtime_clock::now() < *failed_at + accept_failure_lifetime;
}

std::size_t server::open_connections() const
{
    return this->state->connections;
}

result<asio::ip::tcp::endpoint> parse_address(const std::string& address)
{
    const std::size_t colon = address.rfind(':');
    constexpr std::int64_t max_port = 65'535;
    // The longest IPv6 address with a zone and a port is shorter.
    constexpr std::size_t max_address_bytes = 80;
    const std::string remedy = "write it as IP:port, for example 127.0.0.1:8080";
    if (address.size() > max_address_bytes)
        return fail(error_kind::bad_setting, "an address of " + std::to_string(address.size()) + " bytes is too long",
                    remedy);
    if (colon == std::string::npos)
        return fail(error_kind::bad_setting, "address '" + address + "' has no port", remedy);
    error_code failure;
    const auto ip = asio::ip::make_address(address.substr(0, colon), failure);
    const auto port = to_integer(address.substr(colon + 1));
    if (failure || !port || *port < 0 || *port > max_port)
        return fail(error_kind::bad_setting, "address '" + address + "' is not an IP address and a port", remedy);
    return asio::ip::tcp::endpoint{ip, static_cast<std::uint16_t>(*port)};
}

result<asio::ip::tcp::acceptor> listen(const asio::any_io_executor& executor, const std::string& address)
{
    const auto endpoint = parse_address(address);
    if (!endpoint)
        return tl::unexpected{endpoint.error()};
    asio::ip::tcp::acceptor listener{executor};
    error_code failure;
    listener.open(endpoint->protocol(), failure);
    if (!failure)
        listener.set_option(asio::socket_base::reuse_address{true}, failure);
    if (!failure)
        listener.bind(*endpoint, failure);
    if (!failure)
        listener.listen(asio::socket_base::max_listen_connections, failure);
    if (failure) {
        return fail(error_kind::bad_setting, "cannot listen on " + address + ": " + failure.message(),
                    "choose an address of this host and a free port");
    }
    return listener;
}

} // namespace radishstep::http
