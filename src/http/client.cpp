#include "http/client.h"

#include <array>
#include <deque>
#include <optional>
#include <utility>

#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "base/text.h"
#include "http/dead_peer.h"
#include "http/server.h"

namespace radishstep::http {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

constexpr std::size_t max_idle_per_address = 64;
constexpr std::size_t stream_part_bytes = 8UL * 1024;
constexpr std::uint64_t max_body_bytes = 16ULL * 1024 * 1024;
constexpr std::chrono::seconds max_idle_time{30};

struct connection
{
    explicit connection(const asio::any_io_executor& executor) : stream(executor) {}

    beast::tcp_stream stream;
    beast::flat_buffer buffer;
    time_point idle_since;
    runtime_clock::duration idle_limit = max_idle_time;
};

using connection_ptr = std::shared_ptr<connection>;

tl::unexpected<error> lost(const error_code& failure)
{
    if (failure == beast::error::timeout)
        return fail(error_kind::timed_out, "the endpoint fell silent", "see the endpoint's own log");
    return fail(error_kind::connection_lost, failure.message(), "see the endpoint's own log");
}

tl::unexpected<error> unreachable(const std::string& address, const error_code& failure)
{
    const bool is_refused = failure == asio::error::connection_refused;
    return fail(is_refused ? error_kind::connection_refused : error_kind::not_sent,
                "cannot reach " + address + ": " + failure.message(),
                "start the endpoint or take it out of the configuration");
}

beast::http::request<beast::http::string_body> to_beast(const std::string& address, request asked)
{
    beast::http::request<beast::http::string_body> message;
    message.version(11);
    message.method_string(asked.method);
    message.target(asked.target);
    if (find_header(asked.lines, "Host").empty())
        message.set(beast::http::field::host, address);
    for (const header& line : asked.lines)
        message.insert(line.name, line.value);
    message.body() = std::move(asked.body);
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

bool is_still_usable(connection& kept)
{
    // An idle connection must be open and must have nothing to say.
    char next = 0;
    error_code failure;
    auto& socket = kept.stream.socket();
    socket.non_blocking(true, failure);
    socket.receive(asio::buffer(&next, 1), asio::socket_base::message_peek, failure);
    return failure == asio::error::would_block;
}

/// Returns how long the endpoint keeps an idle connection, less a margin for a call that is on its way.
runtime_clock::duration idle_limit_of(const response& answer)
{
    constexpr std::string_view timeout_start = "timeout=";
    constexpr milliseconds margin{400};
    const std::string_view announced = find_header(answer.lines, "Keep-Alive");
    const std::size_t start = announced.find(timeout_start);
    if (start == std::string_view::npos)
        return max_idle_time;
    std::string_view number = announced.substr(start + timeout_start.size());
    const auto seconds = to_integer(number.substr(0, number.find_first_of(", ")));
    if (!seconds)
        return max_idle_time;
    return std::max(std::chrono::seconds{*seconds} - margin, milliseconds{0});
}

void arm(const call_options& options, const connection_ptr& used)
{
    if (!options.abort)
        return;
    options.abort->set_hook([weak = std::weak_ptr<connection>{used}] {
        if (const auto running = weak.lock())
            running->stream.close();
    });
}

void disarm(const call_options& options)
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
    std::map<std::string, std::deque<connection_ptr>> kept;

    connection_ptr take(const std::string& address)
    {
        auto& queue = this->kept[address];
        while (!queue.empty()) {
            connection_ptr candidate = queue.back();
            queue.pop_back();
            const bool is_fresh = candidate->idle_since + candidate->idle_limit > runtime_clock::now();
            if (is_fresh && is_still_usable(*candidate))
                return candidate;
        }
        return nullptr;
    }

    void give_back(const std::string& address, connection_ptr done)
    {
        auto& queue = this->kept[address];
        if (queue.size() >= max_idle_per_address || done->buffer.size() != 0)
            return;
        done->idle_since = runtime_clock::now();
        done->stream.expires_never();
        queue.push_back(std::move(done));
    }

    asio::awaitable<result<connection_ptr>> connect(std::string address, const call_options& options)
    {
        if (options.abort && options.abort->is_aborted())
            co_return fail(error_kind::not_sent, "the call was aborted", "");
        if (!options.fresh_connection) {
            if (connection_ptr idle = this->take(address))
                co_return idle;
        }
        const auto endpoint = parse_address(address);
        if (!endpoint)
            co_return tl::unexpected{endpoint.error()};
        auto fresh = std::make_shared<connection>(this->executor);
        arm(options, fresh);
        error_code failure;
        fresh->stream.expires_after(options.connect_time);
        co_await fresh->stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return unreachable(address, failure);
        detect_dead_peer(fresh->stream.socket());
        co_return fresh;
    }

    /// Returns the connection once the request has been written to it.
    asio::awaitable<result<connection_ptr>> send(std::string address, request asked, const call_options& options)
    {
        auto used = co_await this->connect(address, options);
        if (!used)
            co_return used;
        arm(options, *used);
        const auto message = to_beast(address, std::move(asked));
        error_code failure;
        (*used)->stream.expires_after(options.idle_timeout);
        co_await beast::http::async_write((*used)->stream, message, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return lost(failure);
        co_return used;
    }
};

namespace {

/// A response that is being read from its connection part by part.
class connection_stream : public body_stream
{
public:
    connection_stream(connection_ptr used, call_options options, std::shared_ptr<client::idle_pool> pool,
                      std::string address)
        : used(std::move(used)), options(std::move(options)), pool(std::move(pool)), address(std::move(address))
    {
        this->parser.body_limit(boost::none);
    }

    ~connection_stream() override
    {
        disarm(this->options);
        if (!this->parser.is_done())
            this->used->stream.close();
    }

    connection_stream(const connection_stream&) = delete;
    connection_stream& operator=(const connection_stream&) = delete;

    asio::awaitable<error_code> read_head()
    {
        error_code failure;
        this->used->stream.expires_after(this->options.idle_timeout);
        co_await beast::http::async_read_header(this->used->stream, this->used->buffer, this->parser,
                                                asio::redirect_error(asio::use_awaitable, failure));
        if (!failure)
            this->first = to_response(this->parser.get());
        co_return failure;
    }

    const response& head() const override { return this->first; }

    asio::awaitable<result<std::string>> next() override
    {
        std::string part;
        while (part.empty() && !this->parser.is_done()) {
            auto& body = this->parser.get().body();
            body.data = this->scratch.data();
            body.size = this->scratch.size();
            body.more = true;
            error_code failure;
            this->used->stream.expires_after(this->options.idle_timeout);
            co_await beast::http::async_read_some(this->used->stream, this->used->buffer, this->parser,
                                                  asio::redirect_error(asio::use_awaitable, failure));
            if (failure && failure != beast::http::error::need_buffer)
                co_return lost(failure);
            part.assign(this->scratch.data(), this->scratch.size() - body.size);
        }
        if (part.empty() && this->parser.keep_alive() && !this->options.fresh_connection &&
            !std::exchange(this->returned, true))
            this->pool->give_back(this->address, this->used);
        co_return part;
    }

private:
    connection_ptr used;
    call_options options;
    std::shared_ptr<client::idle_pool> pool;
    std::string address;
    beast::http::response_parser<beast::http::buffer_body> parser;
    response first;
    std::array<char, stream_part_bytes> scratch;
    bool returned = false;
};

} // namespace

client::client(asio::any_io_executor executor) : idle(std::make_shared<idle_pool>())
{
    this->idle->executor = std::move(executor);
}

client::~client() = default;

asio::awaitable<result<response>> client::call(std::string address, request asked, call_options options)
{
    const auto pool = this->idle;
    auto used = co_await pool->send(address, std::move(asked), options);
    if (!used) {
        disarm(options);
        co_return tl::unexpected{used.error()};
    }
    beast::http::response_parser<beast::http::string_body> parser;
    parser.body_limit(max_body_bytes);
    error_code failure;
    (*used)->stream.expires_after(options.idle_timeout);
    co_await beast::http::async_read((*used)->stream, (*used)->buffer, parser,
                                     asio::redirect_error(asio::use_awaitable, failure));
    disarm(options);
    if (failure)
        co_return lost(failure);
    auto message = parser.release();
    response answer = to_response(message);
    answer.body = std::move(message.body());
    if (options.is_ours && !options.is_ours(answer))
        co_return fail(error_kind::protocol, "the answer belongs to another call", "see the endpoint's own log");
    (*used)->idle_limit = idle_limit_of(answer);
    if (message.keep_alive() && !message.need_eof() && !options.fresh_connection)
        pool->give_back(address, *used);
    co_return answer;
}

asio::awaitable<result<std::unique_ptr<body_stream>>> client::open(std::string address, request asked,
                                                                   call_options options)
{
    const auto pool = this->idle;
    auto used = co_await pool->send(address, std::move(asked), options);
    if (!used) {
        disarm(options);
        co_return tl::unexpected{used.error()};
    }
    auto stream = std::make_unique<connection_stream>(*used, options, pool, address);
    const error_code failure = co_await stream->read_head();
    if (failure)
        co_return lost(failure);
    co_return std::unique_ptr<body_stream>{std::move(stream)};
}

} // namespace radishstep::http
