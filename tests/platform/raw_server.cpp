#include "raw_server.h"

#include <array>
#include <cstdio>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include "http/server.h"

namespace radishstep::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

asio::awaitable<bool> raw_connection::write(std::string bytes)
{
    error_code failure;
    co_await asio::async_write(this->socket, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
    co_return !failure;
}

void raw_connection::reset()
{
    error_code ignored;
    this->socket.set_option(asio::socket_base::linger{true, 0}, ignored);
    this->socket.close(ignored);
}

void raw_connection::close()
{
    error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_both, ignored);
    this->socket.close(ignored);
}

void raw_connection::shut_down_sending()
{
    error_code ignored;
    this->socket.shutdown(asio::ip::tcp::socket::shutdown_send, ignored);
}

bool raw_connection::is_closed_by_peer()
{
    std::array<char, 1> next{};
    error_code failure;
    this->socket.non_blocking(true, failure);
    const std::size_t size = this->socket.receive(asio::buffer(next), asio::socket_base::message_peek, failure);
    return failure != asio::error::would_block && (failure || size == 0);
}

raw_server::raw_server(const asio::any_io_executor& executor, const std::string& address, raw_handler handler)
    : listener(std::move(*http::listen(executor, address))),
      listening_address("127.0.0.1:" + std::to_string(this->listener.local_endpoint().port())),
      handler(std::move(handler))
{
    asio::co_spawn(
        executor, [this] { return this->accept(); }, asio::detached);
}

std::string raw_server::address() const
{
    return this->listening_address;
}

void raw_server::start_again()
{
    this->listener = std::move(*http::listen(this->listener.get_executor(), this->listening_address));
    asio::co_spawn(
        this->listener.get_executor(), [this] { return this->accept(); }, asio::detached);
}

void raw_server::stop()
{
    error_code ignored;
    this->listener.close(ignored);
}

void raw_server::reset_connections()
{
    for (const auto& known : this->connections) {
        if (const auto open = known.lock())
            open->reset();
    }
}

asio::awaitable<void> raw_server::accept()
{
    while (true) {
        error_code failure;
        auto socket = co_await this->listener.async_accept(asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        const auto caller = std::make_shared<raw_connection>(std::move(socket));
        std::erase_if(this->connections, [](const auto& known) { return known.expired(); });
        this->connections.push_back(caller);
        asio::co_spawn(this->listener.get_executor(), this->serve(caller), asio::detached);
    }
}

void raw_server::set_receive_buffer(int bytes)
{
    this->listener.set_option(asio::socket_base::receive_buffer_size{bytes});
}

asio::awaitable<void> raw_server::serve(std::shared_ptr<raw_connection> caller)
{
    beast::flat_buffer buffer;
    bool is_open = true;
    while (is_open) {
        beast::http::request_parser<beast::http::string_body> parser;
        parser.body_limit(boost::none);
        error_code failure;
        co_await beast::http::async_read_header(caller->socket, buffer, parser,
                                                asio::redirect_error(asio::use_awaitable, failure));
        if (!failure && !this->answers_early)
            co_await beast::http::async_read(caller->socket, buffer, parser,
                                             asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        auto message = parser.release();
        http::request request;
        request.method = std::string{message.method_string()};
        request.target = std::string{message.target()};
        for (const auto& field : message)
            request.lines.push_back({std::string{field.name_string()}, std::string{field.value()}});
        request.body = std::move(message.body());
        is_open = co_await this->handler(request, *caller);
    }
}

std::string http_answer(unsigned status, const http::headers& lines, const std::string& body)
{
    http::headers framed = lines;
    framed.push_back({"Content-Length", std::to_string(body.size())});
    return unframed_answer(status, framed, body);
}

std::string chunked_answer(unsigned status, const http::headers& lines, const std::string& body)
{
    http::headers framed = lines;
    framed.push_back({"Transfer-Encoding", "chunked"});
    return unframed_answer(status, framed, chunk(body) + "0\r\n\r\n");
}

std::string unframed_answer(unsigned status, const http::headers& lines, const std::string& body)
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " Stand-in\r\n";
    for (const http::header& line : lines)
        text += line.name + ": " + line.value + "\r\n";
    return text + "\r\n" + body;
}

std::string chunk(const std::string& bytes)
{
    std::array<char, 16> size{};
    const int length = std::snprintf(size.data(), size.size(), "%zx\r\n", bytes.size());
    return std::string{size.data(), static_cast<std::size_t>(length)} + bytes + "\r\n";
}

} // namespace radishstep::testing
