// A manifest with content-addressed sections is a Merkle tree of two levels: the manifest's
// hash suffices to verify every byte of the bundle, whatever its origin.
#include "pomelohead/config/bundle.h"

#include "pomelohead/config/validate.h"

#include <nlohmann/json.hpp>
#include <openssl/evp.h>

#include <algorithm>
#include <array>
#include <set>
#include <stdexcept>

namespace pomelohead::config {
namespace {

using json = nlohmann::json;

constexpr std::string_view service_prefix = "service/";

// Reports a format fault from the nested readers; always caught in this file.
struct format_error : std::runtime_error {
    using std::runtime_error::runtime_error;
};

json parse_json(std::string_view bytes)
{
    json value = json::parse(bytes, nullptr, false);
    if (value.is_discarded()) {
        throw format_error("is not valid JSON, or is truncated");
    }
    return value;
}

// Reads the fields of a JSON object. Every field is required and has a fixed type;
// reject_unknown_fields() fails on fields that were not read.
class object_reader {
public:
    explicit object_reader(const json& value) : m_value(value)
    {
        if (!value.is_object()) {
            throw format_error("expected an object, got " + std::string(value.type_name()));
        }
    }

    template <class T>
    T get(const char* field)
    {
        m_read_fields.insert(field);
        const auto it = m_value.find(field);
        if (it == m_value.end()) {
            throw format_error("field '" + std::string(field) + "' is missing");
        }
        return convert<T>(field, *it);
    }

    const json& array(const char* field)
    {
        m_read_fields.insert(field);
        const auto it = m_value.find(field);
        if (it == m_value.end() || !it->is_array()) {
            throw format_error("field '" + std::string(field) + "' must be a list");
        }
        return *it;
    }

    void reject_unknown_fields() const
    {
        for (const auto& [field, unused] : m_value.items()) {
            if (!m_read_fields.contains(field)) {
                throw format_error("unknown field '" + field + "'");
            }
        }
    }

private:
    template <class T>
    static T convert(const char* field, const json& value)
    {
        if constexpr (std::is_same_v<T, std::string>) {
            if (!value.is_string()) {
                throw format_error("field '" + std::string(field) + "' must be a string");
            }
            return value.get<std::string>();
        }
        else if constexpr (std::is_same_v<T, bool>) {
            if (!value.is_boolean()) {
                throw format_error("field '" + std::string(field) + "' must be true or false");
            }
            return value.get<bool>();
        }
        else {
            if (!value.is_number_unsigned() ||
                value.get<std::uint64_t>() > std::numeric_limits<T>::max()) {
                throw format_error("field '" + std::string(field) +
                                   "' must be a whole number in range");
            }
            return value.get<T>();
        }
    }

    const json& m_value;
    std::set<std::string> m_read_fields;
};

work_class parse_class(const std::string& text)
{
    if (text == "short") {
        return work_class::short_work;
    }
    if (text == "long") {
        return work_class::long_work;
    }
    throw format_error("class must be short or long, not '" + text + "'");
}

urgency parse_urgency(const std::string& text)
{
    for (const urgency value : {urgency::urgent, urgency::normal, urgency::deferrable}) {
        if (text == to_string(value)) {
            return value;
        }
    }
    throw format_error("urgency must be urgent, normal or deferrable, not '" + text + "'");
}

json to_json(const route& item)
{
    return {{"route", item.m_name},
            {"account", item.m_account},
            {"method", item.m_method},
            {"path", item.m_path_prefix},
            {"service", item.m_service},
            {"class", to_string(item.m_class)},
            {"idempotent", item.m_idempotent},
            {"urgency", to_string(item.m_urgency)},
            {"deadline_ms", static_cast<std::uint64_t>(item.m_deadline.count())}};
}

route route_from_json(const json& value)
{
    object_reader in(value);
    route item{.m_name = in.get<std::string>("route"),
               .m_account = in.get<std::string>("account"),
               .m_method = in.get<std::string>("method"),
               .m_path_prefix = in.get<std::string>("path"),
               .m_service = in.get<std::string>("service"),
               .m_class = parse_class(in.get<std::string>("class")),
               .m_idempotent = in.get<bool>("idempotent"),
               .m_urgency = parse_urgency(in.get<std::string>("urgency")),
               .m_deadline = milliseconds(in.get<std::uint32_t>("deadline_ms"))};
    in.reject_unknown_fields();
    return item;
}

json to_json(const target& item)
{
    return {{"target", item.m_name},
            {"service", item.m_service},
            {"host", item.m_host},
            {"port", item.m_port},
            {"failure_domain", item.m_failure_domain},
            {"slots", item.m_slots},
            {"connections", item.m_connections}};
}

target target_from_json(const json& value)
{
    object_reader in(value);
    target item{.m_name = in.get<std::string>("target"),
                .m_service = in.get<std::string>("service"),
                .m_host = in.get<std::string>("host"),
                .m_port = in.get<std::uint16_t>("port"),
                .m_failure_domain = in.get<std::string>("failure_domain"),
                .m_slots = in.get<std::uint32_t>("slots"),
                .m_connections = in.get<std::uint32_t>("connections")};
    in.reject_unknown_fields();
    return item;
}

json to_json(const drain_rule& item)
{
    return {{"target", item.m_target}, {"note", item.m_note}};
}

drain_rule drain_from_json(const json& value)
{
    object_reader in(value);
    drain_rule item{.m_target = in.get<std::string>("target"),
                    .m_note = in.get<std::string>("note")};
    in.reject_unknown_fields();
    return item;
}

json to_json(const shed_rule& item)
{
    return {{"account", item.m_account},
            {"class", to_string(item.m_class)},
            {"from_urgency", to_string(item.m_from_urgency)},
            {"load_percent", item.m_load_percent}};
}

shed_rule shed_from_json(const json& value)
{
    object_reader in(value);
    shed_rule item{.m_account = in.get<std::string>("account"),
                   .m_class = parse_class(in.get<std::string>("class")),
                   .m_from_urgency = parse_urgency(in.get<std::string>("from_urgency")),
                   .m_load_percent = in.get<std::uint32_t>("load_percent")};
    in.reject_unknown_fields();
    return item;
}

template <class T>
json list_to_json(const std::vector<T>& items)
{
    json list = json::array();
    for (const T& item : items) {
        list.push_back(to_json(item));
    }
    return list;
}

template <class T, class Read>
std::vector<T> list_from_json(const json& list, Read read)
{
    std::vector<T> items;
    items.reserve(list.size());
    for (const json& value : list) {
        items.push_back(read(value));
    }
    return items;
}

void read_section(const std::string& name, const json& value, snapshot& config)
{
    object_reader in(value);
    if (name == "routes") {
        config.m_routes = list_from_json<route>(in.array("routes"), route_from_json);
    }
    else if (name == "rules") {
        config.m_drains = list_from_json<drain_rule>(in.array("drains"), drain_from_json);
        config.m_sheds = list_from_json<shed_rule>(in.array("sheds"), shed_from_json);
    }
    else if (name.starts_with(service_prefix)) {
        config.m_services.push_back(
            {name.substr(service_prefix.size()),
             list_from_json<target>(in.array("targets"), target_from_json)});
    }
    else {
        throw format_error("unknown section");
    }
    in.reject_unknown_fields();
}

void sort_items(snapshot& config)
{
    std::ranges::sort(config.m_routes, {}, &route::m_name);
    std::ranges::sort(config.m_services, {}, &service::m_name);
    for (service& item : config.m_services) {
        std::ranges::sort(item.m_targets, {}, &target::m_name);
    }
    std::ranges::sort(config.m_drains, {}, &drain_rule::m_target);
}

std::nullopt_t fail(reason& why, reason_code code, std::string text)
{
    why = {code, std::move(text)};
    return std::nullopt;
}

manifest read_manifest(std::string_view bytes)
{
    const json value = parse_json(bytes);
    object_reader in(value);
    if (const int format = in.get<std::uint16_t>("format"); format != bundle_format) {
        throw format_error("format " + std::to_string(format) + " is not supported");
    }
    manifest result{.m_version = in.get<std::uint64_t>("version"), .m_sections = {}};
    if (result.m_version == 0) {
        throw format_error("version must be at least 1");
    }
    for (const json& line : in.array("sections")) {
        object_reader ref(line);
        result.m_sections.push_back({ref.get<std::string>("name"), ref.get<std::string>("sha256")});
        ref.reject_unknown_fields();
    }
    in.reject_unknown_fields();
    return result;
}

} // namespace

std::string content_hash(std::string_view bytes)
{
    std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
    unsigned int size = 0;
    EVP_Digest(bytes.data(), bytes.size(), digest.data(), &size, EVP_sha256(), nullptr);
    constexpr std::string_view digits = "0123456789abcdef";
    std::string hex;
    hex.reserve(2 * static_cast<std::size_t>(size));
    for (unsigned int i = 0; i < size; ++i) {
        hex += digits[digest[i] >> 4U];
        hex += digits[digest[i] & 0xfU];
    }
    return hex;
}

bundle make_bundle(const snapshot& config)
{
    std::map<std::string, json> sections;
    sections["routes"] = {{"routes", list_to_json(config.m_routes)}};
    sections["rules"] = {{"drains", list_to_json(config.m_drains)},
                         {"sheds", list_to_json(config.m_sheds)}};
    for (const service& item : config.m_services) {
        sections[std::string(service_prefix) + item.m_name] = {
            {"targets", list_to_json(item.m_targets)}};
    }
    bundle result;
    json refs = json::array();
    for (const auto& [name, value] : sections) {
        std::string bytes = value.dump();
        std::string hash = content_hash(bytes);
        refs.push_back({{"name", name}, {"sha256", hash}});
        result.m_sections.emplace(std::move(hash), std::move(bytes));
    }
    result.m_manifest =
        json{{"format", bundle_format}, {"version", config.m_version}, {"sections", refs}}.dump();
    return result;
}

std::optional<manifest> parse_manifest(std::string_view bytes, reason& why)
{
    if (bytes.size() > max_value_bytes) {
        return fail(why, reason_code::too_large, "manifest exceeds 1000000 bytes");
    }
    try {
        manifest result = read_manifest(bytes);
        std::ranges::sort(result.m_sections, {}, &section_ref::m_name);
        const auto duplicate =
            std::ranges::adjacent_find(result.m_sections, {}, &section_ref::m_name);
        if (duplicate != result.m_sections.end()) {
            throw format_error("section " + duplicate->m_name + " is listed twice");
        }
        return result;
    }
    catch (const format_error& error) {
        return fail(why, reason_code::malformed, std::string("manifest ") + error.what());
    }
}

std::optional<snapshot> open_bundle(std::string_view manifest_bytes,
                                    const std::map<std::string, std::string>& sections, reason& why)
{
    const std::optional<manifest> parsed = parse_manifest(manifest_bytes, why);
    if (!parsed) {
        return std::nullopt;
    }
    snapshot config;
    config.m_version = parsed->m_version;
    config.m_manifest_hash = content_hash(manifest_bytes);
    for (const section_ref& ref : parsed->m_sections) {
        const auto it = sections.find(ref.m_hash);
        if (it == sections.end()) {
            return fail(why, reason_code::not_found, "section " + ref.m_name + " is missing");
        }
        if (it->second.size() > max_value_bytes) {
            return fail(why, reason_code::too_large,
                        "section " + ref.m_name + " exceeds 1000000 bytes");
        }
        if (content_hash(it->second) != ref.m_hash) {
            return fail(why, reason_code::malformed,
                        "section " + ref.m_name + " does not have the hash in the manifest");
        }
        try {
            read_section(ref.m_name, parse_json(it->second), config);
        }
        catch (const format_error& error) {
            return fail(why, reason_code::malformed, "section " + ref.m_name + ": " + error.what());
        }
    }
    for (const std::string_view required : {"routes", "rules"}) {
        if (std::ranges::find(parsed->m_sections, required, &section_ref::m_name) ==
            parsed->m_sections.end()) {
            return fail(why, reason_code::not_found,
                        "the manifest lists no section " + std::string(required));
        }
    }
    sort_items(config);
    const std::vector<fault> faults = validate(config);
    if (!faults.empty()) {
        const fault& first = faults.front();
        return fail(why, reason_code::invalid,
                    first.m_subject + ": " + first.m_field + " " + first.m_text +
                        (faults.size() > 1
                             ? " (and " + std::to_string(faults.size() - 1) + " more faults)"
                             : ""));
    }
    return config;
}

} // namespace pomelohead::config
