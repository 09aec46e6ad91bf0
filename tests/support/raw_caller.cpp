#include "raw_caller.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include "http/server.h"

namespace radishstep::testing {

namespace asio = boost::asio;
namespace beast = boost::beast;
using boost::system::error_code;

namespace {

asio::awaitable<void> exchange(std::string address, std::string bytes, milliseconds timeout, std::string& received)
{
    beast::tcp_stream stream{co_await asio::this_coro::executor};
    error_code failure;
    stream.expires_after(timeout);
    const auto endpoint = http::parse_address(address);
    co_await stream.async_connect(*endpoint, asio::redirect_error(asio::use_awaitable, failure));
    if (failure)
        co_return;
    co_await asio::async_write(stream, asio::buffer(bytes), asio::redirect_error(asio::use_awaitable, failure));
    co_await asio::async_read(stream, asio::dynamic_buffer(received),
                              asio::redirect_error(asio::use_awaitable, failure));
}

} // namespace

std::string exchange_bytes(const std::string& address, const std::string& bytes, milliseconds timeout)
{
    asio::io_context io{1};
    std::string received;
    asio::co_spawn(io, exchange(address, bytes, timeout, received), asio::detached);
    io.run();
    return received;
}

std::vector<raw_response> parse_responses(const std::string& bytes)
{
    constexpr std::size_t version_bytes = sizeof("HTTP/1.1 ") - 1;
    constexpr std::size_t status_digits = 3;
    std::vector<raw_response> responses;
    std::size_t start = 0;
    while (start < bytes.size()) {
        beast::http::response_parser<beast::http::string_body> parser;
        parser.body_limit(boost::none);
        parser.eager(true);
        error_code failure;
        const std::size_t size = parser.put(asio::buffer(bytes.data() + start, bytes.size() - start), failure);
        if (!failure && !parser.is_done())
            parser.put_eof(failure);
        raw_response next;
        next.status = bytes.substr(std::min(start + version_bytes, bytes.size()), status_digits);
        next.is_complete = !failure && parser.is_done();
        for (const auto& field : parser.get())
            next.lines.push_back({std::string{field.name_string()}, std::string{field.value()}});
        next.body = parser.get().body();
        responses.push_back(std::move(next));
        if (failure || size == 0)
            break;
        start += size;
    }
    return responses;
}

std::string request_bytes(const std::string& method, const std::string& target, const http::headers& lines,
                          const std::string& body)
{
    std::string text = method + " " + target + " HTTP/1.1\r\nConnection: close\r\n";
    for (const http::header& line : lines)
        text += line.name + ": " + line.value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace radishstep::testing
