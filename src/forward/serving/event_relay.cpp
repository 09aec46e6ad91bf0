#include "forward/serving/event_relay.h"

#include <algorithm>
#include <cctype>
#include <utility>

#include "base/text.h"

namespace radishstep::forward {

namespace {

/// Returns the position after the empty line that ends the event at `start`, or npos if it is not there yet. Lines end
/// in LF or CR LF.
std::size_t find_event_end(std::string_view bytes, std::size_t start)
{
    constexpr std::string_view empty_line = "\n";
    constexpr std::string_view empty_crlf_line = "\r\n";
    for (std::size_t line_end = bytes.find('\n', start); line_end != std::string_view::npos;
         line_end = bytes.find('\n', line_end + 1)) {
        const std::string_view next_line = bytes.substr(line_end + 1);
        if (next_line.starts_with(empty_line))
            return line_end + 1 + empty_line.size();
        if (next_line.starts_with(empty_crlf_line))
            return line_end + 1 + empty_crlf_line.size();
    }
    return std::string_view::npos;
}

/// What one event consists of.
struct event_fields
{
    std::optional<std::int64_t> id;
    /// False for an event of comments and empty lines only.
    bool has_fields = false;
    /// Every line is a comment or starts with the name of a field, as no line of a response head or of JSON does.
    bool is_valid = true;
};

bool is_name_character(char character)
{
    return std::isalnum(static_cast<unsigned char>(character)) != 0 || character == '-' || character == '_';
}

std::optional<std::int64_t> parse_id(std::string_view value)
{
    while (value.starts_with(' '))
        value.remove_prefix(1);
    return to_integer(value);
}

event_fields parse_fields(std::string_view event)
{
    event_fields fields;
    while (!event.empty()) {
        std::string_view line = event.substr(0, event.find('\n'));
        event.remove_prefix(std::min(event.size(), line.size() + 1));
        if (line.ends_with('\r'))
            line.remove_suffix(1);
        const std::string_view name = line.substr(0, line.find(':'));
        if (name.empty())
            continue;
        fields.has_fields = true;
        fields.is_valid = fields.is_valid && std::ranges::all_of(name, is_name_character);
        if (name == "id" && !fields.id && name.size() < line.size())
            fields.id = parse_id(line.substr(name.size() + 1));
    }
    return fields;
}

} // namespace

std::string event_relay::push(std::string_view bytes)
{
    this->buffer.append(bytes);
    std::string new_events;
    std::size_t start = 0;
    while (!this->is_invalid) {
        const std::size_t end = find_event_end(this->buffer, start);
        if (end == std::string_view::npos)
            break;
        const std::string_view event{this->buffer.data() + start, end - start};
        start = end;
        const event_fields fields = parse_fields(event);
        if (fields.id && this->last_id && *fields.id <= *this->last_id)
            continue;
        if (!fields.is_valid || (fields.has_fields && !this->follows(fields.id))) {
            this->is_invalid = true;
            break;
        }
        if (fields.has_fields) {
            if (fields.id && this->last_id && *fields.id != *this->last_id + 1)
                this->are_ids_consecutive = false;
            this->is_joining = false;
            this->has_id_at_end = fields.id.has_value();
        }
        if (fields.id)
            this->last_id = fields.id;
        new_events.append(event);
        ++this->relayed_events;
    }
    this->buffer.erase(0, start);
    if (this->buffer.size() > max_event_bytes)
        this->is_invalid = true;
    return new_events;
}

/// Returns whether an event with this id may come next. Within a run the endpoint decides; where ids are not
/// consecutive, a gap between two runs cannot be told.
bool event_relay::follows(const std::optional<std::int64_t>& id) const
{
    if (!this->is_joining || !this->last_id)
        return true;
    return id && (!this->are_ids_consecutive || *id == *this->last_id + 1);
}

void event_relay::begin_run()
{
    this->buffer.clear();
    this->is_invalid = false;
    this->is_joining = this->relayed_events > 0;
}

bool event_relay::has_partial_event() const
{
    return std::ranges::any_of(this->buffer, [](char byte) { return byte != '\r' && byte != '\n'; });
}

std::string event_relay::take_remainder()
{
    return std::exchange(this->buffer, {});
}

} // namespace radishstep::forward
