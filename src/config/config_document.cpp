#include "config/config_document.h"

#include <nlohmann/json.hpp>

namespace radishstep {

std::string to_json(const config_document& document)
{
    const nlohmann::json json{{"version", document.version}, {"author", document.author},
                              {"note", document.note},       {"accepted_ms", document.accepted_ms},
                              {"base", document.base},       {"overlays", document.overlays}};
    return json.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

result<config_document> parse_config_document(const std::string& text)
{
    const std::string remedy = "write the document with radishctl config apply";
    const auto json = nlohmann::json::parse(text, nullptr, false);
    if (!json.is_object())
        return fail(error_kind::bad_config, "the stored document is not a JSON object", remedy);
    try {
        config_document document;
        document.version = json.at("version").get<std::int64_t>();
        document.author = json.value("author", "");
        document.note = json.value("note", "");
        document.accepted_ms = json.value("accepted_ms", std::int64_t{0});
        document.base = json.at("base").get<std::string>();
        document.overlays = json.at("overlays").get<std::map<std::string, std::string>>();
        return document;
    } catch (const nlohmann::json::exception& failure) {
        return fail(error_kind::bad_config, std::string{"the stored document is incomplete: "} + failure.what(),
                    remedy);
    }
}

result<site_config> build_site_config(const config_document& document, const std::string& site)
{
    const auto overlay = document.overlays.find(site);
    const std::string overlay_text = overlay == document.overlays.end() ? "" : overlay->second;
    config_read_result read_result = read_config(site, {"base.toml", document.base}, {site + ".toml", overlay_text});
    for (const config_finding& finding : read_result.findings) {
        if (finding.is_error)
            return fail(error_kind::bad_config, describe(finding), finding.remedy);
    }
    read_result.config.version = document.version;
    return read_result.config;
}

} // namespace radishstep
