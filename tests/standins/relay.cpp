#include <array>
#include <memory>
#include <string>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

#include "standin_server.h"

namespace {

namespace asio = boost::asio;
using namespace radishstep;
using namespace radishstep::standin;
using boost::system::error_code;

/// What to do to the next connection on which `match` is sent: after `at` bytes in one direction,
/// counted from the match on, reset it or leave it open and silent for good.
struct armed_fault
{
    std::string match;
    bool upwards = true;
    int at = -1;
    bool silent = false;
};

/// A TCP relay before an endpoint that cuts connections at a chosen byte.
class relay
{
public:
    relay(asio::io_context& context, const std::string& target) : context(context)
    {
        this->target = http::parse_address(target).value();
    }

    asio::awaitable<void> control(const http::request& asked, http::reply& reply)
    {
        const auto body = parse_body(asked);
        this->armed.match = body.value("match", "");
        this->armed.upwards = body.value("upwards", true);
        this->armed.at = body.value("at", -1);
        this->armed.silent = body.value("silent", false);
        const http::response done = http::text_response(200, "{}");
        co_await reply.send(done);
    }

    asio::awaitable<void> accept(asio::ip::tcp::acceptor listener)
    {
        while (true) {
            auto made = std::make_shared<connection>(this->context);
            error_code failure;
            co_await listener.async_accept(made->near, asio::redirect_error(asio::use_awaitable, failure));
            if (!failure)
                asio::co_spawn(this->context, this->serve(made), asio::detached);
        }
    }

private:
    struct connection
    {
        explicit connection(asio::io_context& context) : near(context), far(context) {}

        asio::ip::tcp::socket near;
        asio::ip::tcp::socket far;
        armed_fault fault;
        int counted = 0;
        bool silent = false;
    };
    using connection_ptr = std::shared_ptr<connection>;

    asio::awaitable<void> serve(connection_ptr made)
    {
        error_code failure;
        co_await made->far.async_connect(this->target, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            co_return;
        made->near.set_option(asio::ip::tcp::no_delay{true}, failure);
        made->far.set_option(asio::ip::tcp::no_delay{true}, failure);
        asio::co_spawn(this->context, this->pump(made, false), asio::detached);
        co_await this->pump(made, true);
    }

    asio::awaitable<void> pump(connection_ptr made, bool upwards)
    {
        auto& from = upwards ? made->near : made->far;
        auto& to = upwards ? made->far : made->near;
        std::array<char, 16'384> buffer{};
        while (true) {
            error_code failure;
            const std::size_t size =
                co_await from.async_read_some(asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failure));
            if (failure)
                break;
            const std::string_view bytes{buffer.data(), size};
            if (upwards)
                this->arm(*made, bytes);
            const std::size_t allowed = count(*made, upwards, size);
            if (allowed > 0 && !made->silent)
                co_await asio::async_write(to, asio::buffer(buffer.data(), allowed),
                                           asio::redirect_error(asio::use_awaitable, failure));
            const bool is_hit = allowed < size;
            if (is_hit && made->fault.silent)
                made->silent = true;
            if (is_hit && !made->fault.silent)
                break;
        }
        reset(made->near);
        reset(made->far);
    }

    void arm(connection& made, std::string_view bytes)
    {
        if (this->armed.at < 0 || bytes.find(this->armed.match) == std::string_view::npos)
            return;
        made.fault = this->armed;
        made.counted = 0;
        this->armed.at = -1;
    }

    /// Returns how many of `size` bytes may pass.
    static std::size_t count(connection& made, bool upwards, std::size_t size)
    {
        if (made.fault.at < 0 || made.fault.upwards != upwards)
            return size;
        const int left = made.fault.at - made.counted;
        made.counted += static_cast<int>(size);
        return static_cast<std::size_t>(std::max(0, std::min<int>(left, static_cast<int>(size))));
    }

    static void reset(asio::ip::tcp::socket& socket)
    {
        error_code ignored;
        socket.set_option(asio::socket_base::linger{true, 0}, ignored);
        socket.close(ignored);
    }

    asio::io_context& context;
    asio::ip::tcp::endpoint target;
    armed_fault armed;
};

} // namespace

int main(int argc, char** argv)
{
    asio::io_context context{1};
    relay between{context, flag(argc, argv, "target", std::string{})};
    auto listener = http::listen(context.get_executor(), flag(argc, argv, "listen", std::string{}));
    asio::co_spawn(context, between.accept(std::move(*listener)), asio::detached);
    return serve(context, flag(argc, argv, "control", std::string{}),
                 [&between](const auto& asked, auto& reply) { return between.control(asked, reply); });
}
