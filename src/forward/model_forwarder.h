#pragma once

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/awaitable.hpp>
#include <tl/expected.hpp>

#include "forward/event_relay.h"
#include "forward/plain_forwarder.h"

namespace radishstep::forward {

/// Serves a streamed model request: a prefill engine reads the prompt, a decode engine fetches the
/// result and streams the answer. The decode engine's place is reserved before the prompt is read.
class model_forwarder
{
public:
    /// What a request still needs of its objective when it has got its places: a usual prompt is read and
    /// the first event made in this time.
    static constexpr milliseconds serving_time{320};
    /// How long a request waits for a place. Callers leave a stream that shows nothing for four times the
    /// objective or so; one that is told earlier can come back.
    static constexpr double longest_wait_objectives = 3.2;

    model_forwarder(forward_context& context, active_request active);

    /// Returns once the caller has its whole stream, a refusal, or is gone.
    boost::asio::awaitable<request_outcome> run();

private:
    enum class next_step { done, try_again };

    /// A read prompt that waits at its engine for the decode engine that fetches it.
    struct kept_prompt
    {
        prefill_result result;
        std::string zone;
        time_point until;
    };

    struct reserved_places
    {
        engine_choice places;
        std::unique_ptr<load_guard> reading;
        std::unique_ptr<load_guard> decoding;
    };

    boost::asio::awaitable<tl::expected<reserved_places, error>> reserve();
    tl::expected<engine_choice, selection_failure> look_for_places(const selection_context& search);
    reserved_places hold(engine_choice places);
    bool confirm_engine(reserved_places& reserved);
    model_demand demand() const;
    std::int64_t tokens_per_event() const;

    boost::asio::awaitable<next_step> serve_at(reserved_places& reserved);
    boost::asio::awaitable<bool> read_prompt(const endpoint& at);
    bool has_kept_prompt() const;
    void note_event();
    http::request decode_call_to(const endpoint& at) const;
    void log_call(std::string_view what, const endpoint& at, time_point sent, const http::response& answer) const;
    void log_call(std::string_view what, const endpoint& at, time_point sent, const error& reason) const;
    boost::asio::awaitable<next_step> decode_at(const endpoint& at, load_guard& place);
    boost::asio::awaitable<next_step> pass_on(const endpoint& at, load_guard& place, http::body_stream& stream);
    boost::asio::awaitable<next_step> pass_failure_on(const endpoint& at, http::body_stream& stream);
    next_step take_failure(const endpoint& at, const error& reason);
    void release_prompt();
    bool may_send(int arrivals_before);
    void note_arrival(int& arrivals, bool has_arrived);
    std::optional<error> reason_to_stop() const;
    boost::asio::awaitable<void> finish(const error& reason);

    forward_context& context;
    active_request active;
    excluded_endpoints avoided;
    event_relay relay;
    request_outcome outcome;
    std::optional<time_point> last_event_at;
    std::optional<kept_prompt> read;
    bool is_answer_open = false;
    unsigned runs = 0;
    int prefill_sends = 0;
    int decode_sends = 0;
    /// Sends that reached an engine, or may have.
    int prefill_arrivals = 0;
    int decode_arrivals = 0;
    std::optional<error> refused;
};

} // namespace radishstep::forward
