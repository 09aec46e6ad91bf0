#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "base/error.h"
#include "config/config_reader.h"

namespace radishstep {

/// The versioned document in the key-value service: the base text and each site's overlay.
struct config_document
{
    std::int64_t version = 0;
    std::string author;
    std::string note;
    std::int64_t accepted_ms = 0;
    std::string base;
    std::map<std::string, std::string> overlays;

    bool operator==(const config_document&) const = default;
};

/// The keys of the current document and of its earlier versions.
inline constexpr const char* config_head_key = "radishstep/config/head";
inline constexpr const char* config_history_prefix = "radishstep/config/history/";

/// Returns the JSON form of `document`.
std::string to_json(const config_document& document);

/// Returns the document in a JSON text, or a bad_config error.
result<config_document> parse_config_document(const std::string& text);

/// Returns the configuration of `site`, or the first error in its texts.
result<site_config> build_site_config(const config_document& document, const std::string& site);

} // namespace radishstep
