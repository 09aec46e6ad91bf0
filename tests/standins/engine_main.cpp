#include <boost/asio/io_context.hpp>

#include "engine.h"
#include "standin_server.h"

int main(int argc, char** argv)
{
    using namespace radishstep::standin;
    engine_options options;
    options.is_prefill = flag(argc, argv, "role", "prefill") == "prefill";
    options.slots = flag(argc, argv, "slots", options.is_prefill ? 1 : 20);
    options.prefill_token = std::chrono::microseconds{flag(argc, argv, "prefill-us", 100)};
    options.decode_token = std::chrono::microseconds{flag(argc, argv, "decode-us", 5'000)};
    options.transfer_token = std::chrono::microseconds{flag(argc, argv, "transfer-us", 5)};
    options.evict_time = radishstep::milliseconds{flag(argc, argv, "evict-ms", 1'000)};
    options.load_lag = radishstep::milliseconds{flag(argc, argv, "load-lag-ms", 1'000)};
    options.checks_fence = flag(argc, argv, "checks-fence", 1) == 1;
    options.seen_log = flag(argc, argv, "seen-log", std::string{});
    boost::asio::io_context context{1};
    engine machine{context.get_executor(), options};
    return serve(context, flag(argc, argv, "listen", "127.0.0.1:9000"),
                 [&machine](const auto& asked, auto& reply) { return machine.handle(asked, reply); });
}
