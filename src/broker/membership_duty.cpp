#include "broker/membership_duty.h"

#include <algorithm>
#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>

#include "base/event_log.h"
#include "base/log.h"
#include "base/metrics.h"
#include "base/pause.h"
#include "membership/member_wire.h"
#include "wire/codec.h"
#include "wire/generated/radishstep_types.h"

namespace radishstep {

namespace asio = boost::asio;

namespace {

constexpr milliseconds tick_period{50};

/// How long a starting host contacts the hosts of the host list before it becomes alive and may own cells.
constexpr milliseconds join_wait{500};

/// Upper bound of this wait if the host list cannot be read, counted from the start of the process.
constexpr milliseconds max_join_wait{2'000};

/// The largest UDP payload over IPv4.
constexpr std::size_t max_datagram_bytes = 65'507;

member make_self_record(const broker_settings& settings, std::int64_t incarnation)
{
    member self;
    self.host = settings.host;
    self.zone = settings.zone;
    self.region = settings.region;
    self.address = settings.address;
    self.gossip_port = settings.gossip_port;
    self.link_port = settings.link_port;
    self.incarnation = incarnation;
    self.admin_urls = settings.admin + "," + settings.entry_admin;
    return self;
}

} // namespace

membership_duty::membership_duty(const broker_settings& settings, std::int64_t incarnation, membership_ring& inbox,
                                 cells_ring& cells_inbox)
    : inbox(inbox), cells_inbox(cells_inbox), gossip_port(settings.gossip_port), bind_address(settings.address),
      context(1), socket(this->context),
      table(make_self_record(settings, incarnation), gossip_options{}, static_cast<std::uint64_t>(incarnation)),
      join_deadline(runtime_clock::now() + max_join_wait)
{
    this->inbox.on_wake([this] { asio::post(this->context, [this] { this->drain_inbox(); }); });
    this->table.set_newer_config_hook([this](const member& peer, std::int64_t version) {
        this->cells_inbox.push(to_cells::newer_config{peer.link_address(), version});
    });
}

result<void> membership_duty::open()
{
    boost::system::error_code failure;
    const asio::ip::udp::endpoint local{asio::ip::make_address(this->bind_address),
                                        static_cast<std::uint16_t>(this->gossip_port)};
    this->socket.open(local.protocol(), failure);
    if (!failure)
        this->socket.bind(local, failure);
    if (failure) {
        return fail(error_kind::bad_setting,
                    "cannot bind UDP " + this->bind_address + ":" + std::to_string(this->gossip_port) + ": " +
                        failure.message(),
                    "choose an --address of this host and a free --gossip-port");
    }
    return {};
}

void membership_duty::run()
{
    const auto work = asio::make_work_guard(this->context);
    asio::co_spawn(this->context, this->receive_loop(), asio::detached);
    asio::co_spawn(this->context, this->tick_loop(), asio::detached);
    this->context.run();
}

void membership_duty::stop()
{
    this->context.stop();
}

asio::awaitable<void> membership_duty::receive_loop()
{
    std::string buffer(max_datagram_bytes, '\0');
    while (true) {
        asio::ip::udp::endpoint sender;
        boost::system::error_code failure;
        const std::size_t size = co_await this->socket.async_receive_from(
            asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, failure));
        if (failure)
            continue;
        count("radishstep_gossip_bytes_total", {{"direction", "in"}}, static_cast<double>(size));
        const auto datagram = wire::decode_gossip(std::string_view{buffer}.substr(0, size));
        if (!datagram) {
            count("radishstep_gossip_malformed_total");
            continue;
        }
        this->send(this->table.receive(wire::from_wire(*datagram), runtime_clock::now()));
        this->publish_if_changed();
    }
}

asio::awaitable<void> membership_duty::tick_loop()
{
    while (true) {
        this->send(this->table.tick(runtime_clock::now()));
        if (runtime_clock::now() >= this->join_deadline)
            this->send(this->table.finish_joining());
        this->publish_if_changed();
        co_await pause_for(tick_period);
    }
}

void membership_duty::drain_inbox()
{
    while (const auto message = this->inbox.pop())
        std::visit([this](const auto& content) { this->handle(content); }, *message);
    this->publish_if_changed();
}

void membership_duty::handle(const to_membership::config_version& message)
{
    this->send(this->table.set_config_version(message.version));
}

void membership_duty::handle(const to_membership::peer_refused& message)
{
    this->send(this->table.declare_dead(message.host, message.incarnation, runtime_clock::now()));
}

void membership_duty::handle(const to_membership::seeds& message)
{
    this->join_deadline = std::min(this->join_deadline, runtime_clock::now() + join_wait);
    for (const std::string& seed : message.addresses)
        this->table.add_seed(seed, this->gossip_port);
}

void membership_duty::handle(const to_membership::leave& /*message*/)
{
    this->send(this->table.leave());
}

void membership_duty::send(const outgoing_messages& out)
{
    for (const outgoing_message& outgoing : out) {
        boost::system::error_code failure;
        const auto ip = asio::ip::make_address(outgoing.address, failure);
        if (failure)
            continue;
        const std::string bytes = wire::encode(wire::to_wire(outgoing.message));
        const asio::ip::udp::endpoint target{ip, static_cast<std::uint16_t>(outgoing.port)};
        // Send errors are ignored: gossip tolerates loss, since each update is sent in several messages.
        this->socket.send_to(asio::buffer(bytes), target, 0, failure);
        count("radishstep_gossip_bytes_total", {{"direction", "out"}}, static_cast<double>(bytes.size()));
    }
}

void membership_duty::publish_if_changed()
{
    if (this->has_published && this->published_revision == this->table.revision())
        return;
    this->has_published = true;
    this->published_revision = this->table.revision();
    std::string text;
    for (const member& known : this->table.members())
        text += known.host + "=" + std::string{to_string(known.state)} + " ";
    process_events().record("members", "", text);
    log_state("members", {{"view", text}});
    this->cells_inbox.push(to_cells::members{this->table.members()});
}

} // namespace radishstep
