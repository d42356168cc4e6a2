#include "src/config/language/read.h"

#include <algorithm>
#include <deque>
#include <filesystem>
#include <fstream>
#include <functional>
#include <map>
#include <set>
#include <sstream>
#include <unordered_map>
#include <utility>

#include "src/config/language/lexer.h"
#include "src/config/language/quantity.h"
#include "src/config/language/tree.h"

namespace puffinvane::language {

namespace fs = std::filesystem;
using site::check;
using site::closest_name;
using site::Condition;
using site::Endpoint;
using site::Finding;
using site::Limits;
using site::Listener;
using site::Pool;
using site::Route;
using site::Site;
using site::Target;
using site::Tenant;

std::optional<std::string> DiskFileSource::read(const std::string& path) {
  std::error_code error;
  if (!fs::is_regular_file(path, error) || fs::file_size(path, error) > kMaxFileBytes || error) return {};
  std::ifstream file(path, std::ios::binary);
  if (!file) return {};
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

std::string DiskFileSource::canonical_path(const std::string& path) {
  std::error_code error;
  fs::path real = fs::weakly_canonical(path, error);
  return error ? fs::path(path).lexically_normal().string() : real.string();
}

namespace {

constexpr std::size_t kMaxTotalBytes = DiskFileSource::kMaxFileBytes;  // of all files of a site
constexpr std::size_t kMaxFiles = 1000;
constexpr std::size_t kMaxDefineDepth = 16;  // of definitions that refer to others; stops circular ones
constexpr double kDay = 86400, kMaxRate = 1e9;

std::string in_backticks(std::string_view word) { return "`" + std::string(word.substr(0, 60)) + "`"; }
std::string with_article(std::string_view word) {
  bool vowel = !word.empty() && std::string_view("aeiou").find(word.front()) != std::string_view::npos;
  return (vowel ? "an " : "a ") + in_backticks(word);
}

// A key of a section: the type and bounds of its value, and the function that sets it.
template <typename T>
struct Key {
  const char* word;
  ValueType type;
  double min, max;
  void (*set)(T&, const Value&);
  bool required = false;
};

constexpr auto kLimitKeys = std::to_array<Key<Limits>>({
    {"descriptors", ValueType::Count, 64, 1e6,
     [](Limits& it, const Value& v) { it.descriptors = int(v.number); }},
    {"memory", ValueType::Size, 16 << 20, 1e12,
     [](Limits& it, const Value& v) { it.memory = std::size_t(v.number); }},
    {"body", ValueType::Size, 1024, 16 << 20,
     [](Limits& it, const Value& v) { it.body = std::size_t(v.number); }},
    {"instances", ValueType::Count, 1, 1000,
     [](Limits& it, const Value& v) { it.instances = int(v.number); }},
    {"visits", ValueType::Rate, 0.001, kMaxRate, [](Limits& it, const Value& v) { it.requests = v.number; }},
});
constexpr auto kListenerKeys = std::to_array<Key<Listener>>({
    {"address", ValueType::Address, 0, 0, [](Listener& it, const Value& v) { it.address = v.text; }, true},
});
constexpr auto kEndpointKeys = std::to_array<Key<Endpoint>>({
    {"zone", ValueType::Name, 0, 0, [](Endpoint& it, const Value& v) { it.zone = v.text; }},
    {"cell", ValueType::Count, 0, 1e9,
     [](Endpoint& it, const Value& v) { it.cell = std::int64_t(v.number); }},
    {"size", ValueType::Number, 0.01, 1000, [](Endpoint& it, const Value& v) { it.size = v.number; }},
});
constexpr auto kPoolKeys = std::to_array<Key<Pool>>({
    {"discovery", ValueType::Address, 0, 0, [](Pool& it, const Value& v) { it.discovery = v.text; }},
    {"zone", ValueType::Name, 0, 0, [](Pool& it, const Value& v) { it.zone = v.text; }},
    {"connect-timeout", ValueType::Time, 1e-3, 60,
     [](Pool& it, const Value& v) { it.connect_timeout = v.number; }},
    {"idle-time", ValueType::Time, 0.1, kDay, [](Pool& it, const Value& v) { it.idle_time = v.number; }},
    {"max-fetches", ValueType::Count, 1, 10,
     [](Pool& it, const Value& v) { it.max_attempts = int(v.number); }},
    {"copies", ValueType::Switch, 0, 0, [](Pool& it, const Value& v) { it.hedging = v.number > 0; }},
    {"cancel", ValueType::Switch, 0, 0, [](Pool& it, const Value& v) { it.cancel = v.number > 0; }},
    {"retry-after", ValueType::TimeOrOff, 1e-3, 3600,
     [](Pool& it, const Value& v) { it.retry_after = v.number; }},
    {"cold-share", ValueType::Share, 0.001, 1,
     [](Pool& it, const Value& v) { it.slow_start_share = v.number; }},
    {"warm-after", ValueType::Time, 1e-3, kDay, [](Pool& it, const Value& v) { it.warm_after = v.number; }},
});
constexpr auto kRequestClassKeys = std::to_array<Key<RequestClass>>({
    {"kind", ValueType::Kind, 0, 0,
     [](RequestClass& it, const Value& v) { it.idempotency = Idempotency(int(v.number)); }, true},
    {"group", ValueType::Group, 0, 0,
     [](RequestClass& it, const Value& v) { it.idempotency_scope = IdempotencyScope(int(v.number)); }},
    {"memory", ValueType::Time, 1e-3, kDay,
     [](RequestClass& it, const Value& v) { it.idempotency_window_s = v.number; }},
    {"target-latency", ValueType::Time, 1e-3, 60,
     [](RequestClass& it, const Value& v) { it.latency_objective_s = v.number; }, true},
    {"client-timeout", ValueType::Time, 1e-3, 600,
     [](RequestClass& it, const Value& v) { it.client_timeout_s = v.number; }, true},
    {"credit", ValueType::Number, 0, 1e6,
     [](RequestClass& it, const Value& v) { it.priority_weight = v.number; }},
});
constexpr auto kTenantKeys = std::to_array<Key<Tenant>>({
    {"share", ValueType::Share, 0.0001, 1, [](Tenant& it, const Value& v) { it.share = v.number; }},
    {"quota", ValueType::Rate, 0.001, kMaxRate, [](Tenant& it, const Value& v) { it.quota = v.number; }},
});

class Reader {
 public:
  Reader(ReadResult& result, FileSource& files) : result_(result), files_(files) {}

  void read(const std::string& path) {
    fs::path root = files_.canonical_path(path);
    site_folder_ = root.parent_path().string();
    std::optional<std::string> text = files_.read(path);
    if (!text) {
      result_.found = false;
      return;
    }
    load(path, root.string(), std::move(*text));
    bool syntax_valid = result_.diagnostics.empty();  // after a syntax error whole parts may be missing
    read_defines();
    for (const Item* item : items_) read_section(*item);
    set_default_request_classes();
    std::vector<Finding> findings = check(result_.site);
    bool other_findings =
        std::any_of(findings.begin(), findings.end(), [](const Finding& it) { return !it.is_omission; });
    // Findings that may only be consequences of errors reported before are dropped. Those that start with "no
    // " are about names that aren't declared.
    for (const Finding& finding : findings) {
      if ((finding.is_omission && (other_findings || !syntax_valid || !incomplete_.empty())) ||
          is_incomplete(finding.subject))
        continue;
      if (!syntax_valid && finding.text.starts_with("no ")) continue;
      diagnostics().add(location_of(finding.subject), finding.text, finding.fix);
    }
  }

 private:
  Diagnostics& diagnostics() { return result_.diagnostics; }
  Site& site() { return result_.site; }

  // ---- files
  // Parses a file and, recursively, the files that it includes.
  void load(const std::string& path, const std::string& canonical, std::string text) {
    bytes_ += text.size();
    int file = result_.sources.add(path, std::move(text));
    loaded_.emplace(canonical, file);
    trees_.push_back(parse(file, result_.sources.text(file), diagnostics(), remaining_elements_));
    include_chain_.push_back(canonical);
    const Tree& tree = trees_.back();
    for (const Item& item : tree.items) {
      if (item.word == "include") include(item, path);
      else items_.push_back(&item);
    }
    include_chain_.pop_back();
  }
  std::string to_text(const SourceLocation& location) const {
    return result_.sources.path(location.file) + ":" + std::to_string(location.line) + ":" +
           std::to_string(location.column);
  }
  void include(const Item& item, const std::string& from) {
    if (item.is_malformed) return;
    if (item.arguments.size() != 1 || item.has_block)
      return diagnostics().add(item.location, "`include` takes one file, as include \"pools.site\"");
    const Argument& argument = item.arguments.front();
    std::string name = unquote(argument.raw);
    if (name.empty() || name.find('\0') != std::string::npos)
      return diagnostics().add(argument.location, "this names no file");
    fs::path path = fs::path(from).parent_path() / name;
    std::string canonical = files_.canonical_path(path.string());
    fs::path inside = fs::path(canonical).lexically_relative(site_folder_);
    if (inside.empty() || *inside.begin() == "..")
      return diagnostics().add(argument.location,
                               "the file lies outside the site's folder, " + in_backticks(site_folder_));
    auto first = std::find(include_chain_.begin(), include_chain_.end(), canonical);
    if (first != include_chain_.end()) {
      std::vector<std::string> notes;
      for (auto at = first; at != include_chain_.end(); ++at) {
        const std::string& next = at + 1 == include_chain_.end() ? canonical : *(at + 1);
        notes.push_back(fs::path(*at).filename().string() + " includes " +
                        fs::path(next).filename().string());
      }
      return diagnostics().add(argument.location, "includes in a circle", "", std::move(notes));
    }
    if (loaded_.contains(canonical))
      return diagnostics().add(argument.location, "this file is included already");
    if (loaded_.size() >= kMaxFiles) return diagnostics().add(argument.location, "more than 1000 files");
    std::optional<std::string> text = files_.read(path.string());
    if (text && bytes_ + text->size() > kMaxTotalBytes)
      return diagnostics().add(argument.location, "the site's files have more than 64MiB together");
    if (!text)
      return diagnostics().add(argument.location,
                               "no file " + in_backticks(name) + " that can be read, up to 64MiB");
    load(path.lexically_normal().string(), canonical, std::move(*text));
  }

  // ---- named values
  void read_defines() {
    for (const Item* item : items_) {
      if (item->word != "define" || item->is_malformed) continue;
      if (item->arguments.size() < 2 || item->has_block) {
        diagnostics().add(item->location, "`define` takes a name and a value, as define patience 2s");
        continue;
      }
      std::string_view name = item->arguments.front().raw;
      if (name.starts_with('$')) {
        diagnostics().add(item->arguments.front().location, "a name is defined without its `$`",
                          "write " + std::string(name.substr(1)));
        name.remove_prefix(1);
      }
      if (!is_name(name))
        diagnostics().add(item->arguments.front().location, in_backticks(name) + " is no name");
      if (!defined_.emplace(std::string(name), item).second)
        diagnostics().add(item->arguments.front().location, "a second value named " + in_backticks(name), "",
                          {"the first is at " + to_text(defined_.at(std::string(name))->location)});
    }
  }
  // The arguments, with named values replaced by their definitions.
  std::vector<Argument> resolved(const Item& item) {
    std::vector<Argument> all;
    for (const Argument& argument : item.arguments) append_resolved(argument, argument, all, 0);
    return all;
  }
  void append_resolved(const Argument& argument, const Argument& used, std::vector<Argument>& resolved,
                       std::size_t depth) {
    if (argument.quoted || !argument.raw.starts_with('$')) {
      resolved.push_back({argument.raw, used.location, argument.quoted, used.after_comma});
      return;
    }
    std::string name(argument.raw.substr(1));
    auto found = defined_.find(name);
    if (found == defined_.end()) {
      std::vector<std::string> names;
      for (const auto& [one, item] : defined_) names.push_back(one);
      std::string suggestion = closest_name(name, names);
      diagnostics().add(used.location, "no value is named " + in_backticks(argument.raw),
                        suggestion.empty() ? "" : "did you mean `$" + suggestion + "`?");
      return;
    }
    if (depth >= kMaxDefineDepth || resolved.size() > 1000)
      return diagnostics().add(used.location, in_backticks(argument.raw) + " is defined by way of itself");
    const std::vector<Argument>& value = found->second->arguments;
    for (std::size_t i = 1; i < value.size(); ++i) {
      Argument next = used;
      next.after_comma = i == 1 ? used.after_comma : value[i].after_comma;
      std::size_t before = diagnostics().count();
      append_resolved(value[i], next, resolved, depth + 1);
      if (diagnostics().count() != before) return;  // a circular definition is reported once
    }
  }

  // ---- sections
  using SectionReader = void (Reader::*)(const Item&);
  void read_section(const Item& item) {
    static const std::map<std::string_view, SectionReader> kSections = {
        {"site", &Reader::read_site_name},  {"define", nullptr},
        {"limits", &Reader::read_limits},   {"listener", &Reader::read_listener},
        {"pool", &Reader::read_pool},       {"prefix", &Reader::read_request_class},
        {"customer", &Reader::read_tenant}, {"route", &Reader::read_route}};
    auto found = kSections.find(item.word);
    if (item.is_malformed) incomplete_.insert("site");
    if (item.is_malformed && (!item.has_block || found == kSections.end())) return;
    if (found == kSections.end()) {
      incomplete_.insert("site");
      std::vector<std::string> words{"include"};
      for (const auto& [word, read] : kSections) words.emplace_back(word);
      return report_unknown(item, "a site", words);
    }
    if (found->second) (this->*found->second)(item);
  }
  void report_unknown(const Item& item, const std::string& whose, const std::vector<std::string>& words) {
    std::string suggestion = closest_name(std::string(item.word), words);
    std::string all;
    for (const std::string& word : words) all += (all.empty() ? "" : ", ") + word;
    diagnostics().add(item.location, in_backticks(item.word) + " is nothing that " + whose + " has: " + all,
                      suggestion.empty() ? "" : "did you mean `" + suggestion + "`?");
  }
  void set_location(const std::string& subject, const SourceLocation& location) {
    locations_.emplace(subject, location);
  }
  // The location of the subject or, if none is known, of the nearest one that contains it.
  SourceLocation location_of(std::string subject) const {
    while (true) {
      auto found = locations_.find(subject);
      if (found != locations_.end()) return found->second;
      std::size_t cut = subject.find_last_of("/#");
      if (cut == std::string::npos) return {};
      subject.resize(cut);
    }
  }
  // Whether errors were reported in the section of this subject. Further findings about it may be
  // consequences.
  bool is_incomplete(const std::string& subject) const {
    return incomplete_.contains(subject.substr(0, std::min(subject.find_first_of("/#"), subject.size())));
  }
  // Reads the name of a section, `word name {`. Empty if it is invalid, which is reported. extra: the number
  // of arguments allowed after the name.
  std::optional<std::string> read_name(const Item& item, const std::string& example, std::size_t extra = 0) {
    std::vector<Argument> arguments = resolved(item);
    if (arguments.empty()) {
      diagnostics().add(item.location, in_backticks(item.word) + " needs a name, as in " + example);
    } else if (arguments.size() > 1 + extra) {
      diagnostics().add(arguments[1 + extra].location, "nothing more belongs here: " + example);
    } else if (Value name = read_value(ValueType::Name, arguments[0].raw, arguments[0].quoted, 0, 0);
               !name.error.empty()) {
      diagnostics().add(arguments[0].location, name.error, name.fix);
    } else {
      return name.text;
    }
    incomplete_.insert("site");
    return {};
  }
  // Registers a section with its location and returns its subject. Reports a missing block.
  std::string begin_section(const Item& item, const std::string& name) {
    std::string subject = std::string(item.word) + " " + name;
    if (locations_.contains(subject))
      set_location(subject + "#2", item.arguments.empty() ? item.location : item.arguments[0].location);
    set_location(subject, item.arguments.empty() ? item.location : item.arguments[0].location);
    if (item.is_malformed) incomplete_.insert(subject);
    if (!item.has_block && !item.is_malformed) {
      diagnostics().add(item.location, in_backticks(item.word) + " has no block",
                        "add `{` and `}` with what it has");
      incomplete_.insert(subject);
    }
    return subject;
  }
  void mark_incomplete(const std::string& subject) {
    incomplete_.insert(subject.substr(0, subject.find('/')));
  }

  // Reads the keys of a section. `special` is called for keys that the table lacks and returns whether it
  // knows them; `more` lists these for error messages.
  template <typename T, std::size_t N>
  void read_values(const Item& item, const std::string& subject, const std::array<Key<T>, N>& keys, T& into,
                   const std::function<bool(const Item&)>& special = {},
                   const std::vector<std::string>& more = {}) {
    std::map<std::string_view, SourceLocation> seen;
    for (const Item& one : item.block) {
      auto key =
          std::find_if(keys.begin(), keys.end(), [&](const Key<T>& it) { return it.word == one.word; });
      if (key == keys.end()) {
        if (special && special(one)) continue;
        std::vector<std::string> words = more;
        for (const Key<T>& it : keys) words.emplace_back(it.word);
        mark_incomplete(subject);
        report_unknown(one, with_article(item.word), words);
        continue;
      }
      if (!check_single(one, seen)) {
        mark_incomplete(subject);
        continue;
      }
      if (std::optional<Value> value = read_single_value(one, subject, key->type, key->min, key->max))
        key->set(into, *value);
    }
    for (const Key<T>& key : keys) {
      if (!key.required || seen.contains(key.word) || !item.has_block || item.is_malformed) continue;
      diagnostics().add(item.location, in_backticks(item.word) + " needs " + with_article(key.word));
      mark_incomplete(subject);
    }
  }
  // Reports a key that occurs a second time in its section.
  bool check_single(const Item& item, std::map<std::string_view, SourceLocation>& seen) {
    auto [first, is_new] = seen.emplace(item.word, item.location);
    if (!is_new)
      diagnostics().add(item.location, "a second " + in_backticks(item.word), "",
                        {"the first is at " + to_text(first->second)});
    return is_new;
  }
  // The only value of a key. Empty if it is missing or invalid, which is reported.
  std::optional<Value> read_single_value(const Item& item, const std::string& subject, ValueType type,
                                         double min, double max) {
    std::size_t errors_before = diagnostics().count();
    std::vector<Argument> arguments = resolved(item);
    if (item.has_block)
      diagnostics().add(item.location, in_backticks(item.word) + " has a value, not a block");
    else if (arguments.empty() && diagnostics().count() == errors_before)
      diagnostics().add(item.location, in_backticks(item.word) + " needs a value");
    else if (arguments.size() > 1) {
      std::string joined = std::string(arguments[0].raw) + std::string(arguments[1].raw);
      bool valid_if_joined = arguments.size() == 2 && read_value(type, joined, false, min, max).error.empty();
      diagnostics().add(
          arguments[1].location,
          valid_if_joined ? "a quantity has no blank in it" : in_backticks(item.word) + " takes one value",
          valid_if_joined ? "write " + joined : "");
    } else if (!arguments.empty()) {
      Value value = read_value(type, arguments[0].raw, arguments[0].quoted, min, max);
      set_location(subject + "/" + std::string(item.word), arguments[0].location);
      if (value.error.empty()) return value;
      diagnostics().add(arguments[0].location, value.error, value.fix, definition_notes(item));
    }
    mark_incomplete(subject);
    return {};
  }
  // Notes with the locations where the named values in the arguments are defined.
  std::vector<std::string> definition_notes(const Item& item) const {
    std::vector<std::string> notes;
    for (const Argument& argument : item.arguments) {
      if (argument.quoted || !argument.raw.starts_with('$')) continue;
      auto found = defined_.find(std::string(argument.raw.substr(1)));
      if (found != defined_.end()) notes.push_back("its value stands at " + to_text(found->second->location));
    }
    return notes;
  }

  void read_site_name(const Item& item) {
    if (std::exchange(has_name_, true)) return diagnostics().add(item.location, "a second `site`");
    if (item.has_block) return diagnostics().add(item.location, "`site` takes a name and no block");
    if (auto name = read_name(item, "site leuven")) {
      site().name = *name;
      set_location("site", item.location);
    }
  }
  void read_limits(const Item& item) {
    if (std::exchange(has_limits_, true)) return diagnostics().add(item.location, "a second `limits`");
    if (!item.arguments.empty()) diagnostics().add(item.arguments[0].location, "`limits` has no name");
    if (!item.has_block) return diagnostics().add(item.location, "`limits` has no block");
    read_values(item, "limits", kLimitKeys, site().limits);
  }
  void read_listener(const Item& item) {
    auto name = read_name(item, "listener main {");
    Listener read{name.value_or(""), ""};
    read_values(item, begin_section(item, read.name), kListenerKeys, read);
    if (name) site().listeners.push_back(std::move(read));
  }
  void read_pool(const Item& item) {
    auto name = read_name(item, "pool status {");
    Pool read;
    read.name = name.value_or("");
    std::string subject = begin_section(item, read.name);
    read_values(item, subject, kPoolKeys, read,
                [&](const Item& one) {
                  if (one.word != "endpoint") return false;
                  read_endpoint(one, subject, read);
                  return true;
                },
                {"endpoint"});
    if (name) site().pools.push_back(std::move(read));
  }
  void read_endpoint(const Item& item, const std::string& pool_subject, Pool& pool) {
    std::vector<Argument> arguments = resolved(item);
    if (arguments.size() != 2) {
      diagnostics().add(item.location,
                        "an endpoint has a name and an address, as endpoint one 127.0.0.1:6000");
      return mark_incomplete(pool_subject);
    }
    Value name = read_value(ValueType::Name, arguments[0].raw, arguments[0].quoted, 0, 0);
    Value address = read_value(ValueType::Address, arguments[1].raw, arguments[1].quoted, 0, 0);
    Endpoint read{name.text, address.text, "", 0, 1};
    std::string subject = pool_subject + "/endpoint " + name.text;
    if (locations_.contains(subject)) set_location(subject + "#2", arguments[0].location);
    set_location(subject, arguments[0].location);
    set_location(subject + "/address", arguments[1].location);
    if (!name.error.empty()) {
      diagnostics().add(arguments[0].location, name.error, name.fix);
      mark_incomplete(pool_subject);
    }
    if (!address.error.empty()) {
      diagnostics().add(arguments[1].location, address.error, address.fix);
      mark_incomplete(pool_subject);
    }
    read_values(item, subject, kEndpointKeys, read);
    pool.endpoints.push_back(std::move(read));
  }
  void read_request_class(const Item& item) {
    auto name = read_name(item, "prefix status {");
    RequestClass read;
    read.name = name.value_or("");
    read_values(item, begin_section(item, read.name), kRequestClassKeys, read);
    if (name) site().request_classes.push_back(std::move(read));
  }
  void read_tenant(const Item& item) {
    auto name = read_name(item, "customer leuven {");
    Tenant read;
    read.name = name.value_or("");
    read_values(item, begin_section(item, read.name), kTenantKeys, read);
    if (name) site().tenants.push_back(std::move(read));
  }

  // ---- routes
  // A key of a route: the function that reads it, whether it may occur several times, and its number of
  // arguments.
  struct RouteKey {
    const char* word;
    void (Reader::*read)(const Item&, const std::vector<Argument>&, const std::string&, Route&);
    bool repeatable = false;
    std::size_t min_arguments = 1, max_arguments = 1;
    const char* example;
  };
  void read_route(const Item& item) {
    static constexpr std::size_t kUnlimited = 100000;
    static const std::vector<RouteKey> kKeys = {
        {"on", &Reader::route_on, false, 1, kUnlimited, "on main, second"},
        {"host", &Reader::route_host, false, 1, kUnlimited, "host www.example.org, *.example.org"},
        {"path", &Reader::route_path, false, 1, 1, "path /status"},
        {"exact", &Reader::route_path, false, 1, 1, "exact /status"},
        {"method", &Reader::route_method, false, 1, kUnlimited, "method GET, POST"},
        {"header", &Reader::route_header, true, 2, 3, "header X-Canary is yes"},
        {"rewrite", &Reader::route_rewrite, false, 1, 1, "rewrite /v2"},
        {"as", &Reader::route_as, false, 1, 1, "as status"},
        {"to", &Reader::route_to, false, 1, kUnlimited, "to status 90%, canary 10%"},
        {"answer", &Reader::route_answer, false, 1, 2, "answer 404 \"no such page\""},
        {"location", &Reader::route_location, false, 1, 1, "location \"https://example.org/\""},
    };
    auto name = read_name(item, "route status {");
    Route read;
    read.name = name.value_or("");
    std::string subject = begin_section(item, read.name);
    std::map<std::string_view, SourceLocation> seen;
    for (const Item& one : item.block) {
      if (one.is_malformed) {
        mark_incomplete(subject);
        continue;
      }
      auto key =
          std::find_if(kKeys.begin(), kKeys.end(), [&](const RouteKey& it) { return it.word == one.word; });
      if (key == kKeys.end()) {
        std::vector<std::string> words;
        for (const RouteKey& it : kKeys) words.emplace_back(it.word);
        mark_incomplete(subject);
        report_unknown(one, "a `route`", words);
        continue;
      }
      std::size_t errors_before = diagnostics().count();
      std::vector<Argument> arguments = resolved(one);
      if (!key->repeatable && !check_single(one, seen)) {
      } else if (one.has_block) {
        diagnostics().add(one.location, in_backticks(one.word) + " has no block");
      } else if (arguments.size() < key->min_arguments && diagnostics().count() == errors_before) {
        diagnostics().add(one.location, in_backticks(one.word) + " is written as in: " + key->example);
      } else if (arguments.size() > key->max_arguments) {
        diagnostics().add(arguments[key->max_arguments].location,
                          "nothing more belongs here: " + std::string(key->example));
      } else if (diagnostics().count() == errors_before) {
        set_location(subject + "/" + key->word, arguments[0].location);
        (this->*key->read)(one, arguments, subject, read);
      }
      if (diagnostics().count() != errors_before) mark_incomplete(subject);
    }
    if (seen.contains("path") && seen.contains("exact")) {
      diagnostics().add(seen.at("exact"), "a `path` and an `exact`: one of them has to go");
      mark_incomplete(subject);
    }
    if (name) site().routes.push_back(std::move(read));
  }
  // Reports a missing comma between the items of a list, the first one only, and repeated items. Returns
  // whether all commas are present.
  bool check_list(const std::vector<Argument>& arguments) {
    for (std::size_t i = 1; i < arguments.size(); ++i) {
      if (arguments[i].after_comma) continue;
      diagnostics().add(arguments[i].location, "a comma is missing before this",
                        "write " + std::string(arguments[i - 1].raw) + ", " + std::string(arguments[i].raw));
      return false;
    }
    std::set<std::string_view> all;
    for (const Argument& argument : arguments) {
      if (!all.insert(argument.raw).second)
        diagnostics().add(argument.location, in_backticks(argument.raw) + " twice");
    }
    return true;
  }
  void route_on(const Item&, const std::vector<Argument>& arguments, const std::string& subject,
                Route& route) {
    if (!check_list(arguments)) return;
    for (const Argument& one : arguments) {
      route.listeners.push_back(unquote(one.raw));
      set_location(subject + "/on " + route.listeners.back(), one.location);
    }
  }
  void route_host(const Item&, const std::vector<Argument>& arguments, const std::string&, Route& route) {
    if (!check_list(arguments)) return;
    for (const Argument& one : arguments) {
      std::string host = to_lower(unquote(one.raw));
      std::string wrong = host_error(host);
      if (!wrong.empty()) diagnostics().add(one.location, wrong);
      else route.hosts.push_back(std::move(host));
    }
  }
  void route_path(const Item& item, const std::vector<Argument>& arguments, const std::string&,
                  Route& route) {
    std::string path = unquote(arguments[0].raw), wrong = path_error(path);
    if (!wrong.empty())
      return diagnostics().add(arguments[0].location, wrong,
                               path.starts_with('/') || !is_name(path) ? "" : "write /" + path);
    route.match = item.word == "exact" ? Route::Path::Exact : Route::Path::Prefix;
    route.path = std::move(path);
  }
  void route_method(const Item&, const std::vector<Argument>& arguments, const std::string&, Route& route) {
    if (!check_list(arguments)) return;
    for (const Argument& one : arguments) {
      std::string method = unquote(one.raw), upper = method;
      for (char& c : upper) c = c >= 'a' && c <= 'z' ? char(c - 32) : c;
      if (!is_token(method))
        diagnostics().add(one.location, in_backticks(one.raw) + " is no method, as GET or POST");
      else if (upper != method)
        diagnostics().add(one.location, "methods are written in capitals", "write " + upper);
      else if (method == "CONNECT") diagnostics().add(one.location, "CONNECT is not served");
      else route.methods.push_back(std::move(method));
    }
  }
  void route_header(const Item&, const std::vector<Argument>& arguments, const std::string& subject,
                    Route& route) {
    static const std::vector<std::string> kTests{"is", "is-not", "starts", "present", "absent"};
    Condition condition;
    condition.header = unquote(arguments[0].raw);
    set_location(subject + "/header " + std::to_string(route.conditions.size()), arguments[0].location);
    if (!is_token(condition.header))
      return diagnostics().add(arguments[0].location,
                               in_backticks(arguments[0].raw) + " is no name of a header");
    auto test = std::find(kTests.begin(), kTests.end(), arguments[1].raw);
    if (test == kTests.end()) {
      std::string suggestion = closest_name(std::string(arguments[1].raw), kTests);
      return diagnostics().add(
          arguments[1].location,
          in_backticks(arguments[1].raw) + " is no test of a header: is, is-not, starts, present or absent",
          suggestion.empty() ? "" : "did you mean `" + suggestion + "`?");
    }
    condition.test = Condition::Test(test - kTests.begin());
    bool takes_value = condition.test < Condition::Test::Present;
    if (takes_value && arguments.size() < 3)
      return diagnostics().add(arguments[1].location, in_backticks(arguments[1].raw) + " needs a value");
    if (!takes_value && arguments.size() > 2)
      return diagnostics().add(arguments[2].location, in_backticks(arguments[1].raw) + " takes no value");
    if (takes_value) condition.value = unquote(arguments[2].raw);
    if (condition.test == Condition::Test::Starts && condition.value.empty())
      return diagnostics().add(arguments[2].location, "every value starts with nothing", "write present");
    route.conditions.push_back(std::move(condition));
  }
  void route_rewrite(const Item&, const std::vector<Argument>& arguments, const std::string&, Route& route) {
    route.rewrite = unquote(arguments[0].raw);
    std::string wrong = path_error(route.rewrite);
    if (!wrong.empty()) diagnostics().add(arguments[0].location, wrong);
  }
  void route_as(const Item&, const std::vector<Argument>& arguments, const std::string&, Route& route) {
    route.request_class = unquote(arguments[0].raw);
  }
  void route_to(const Item&, const std::vector<Argument>& arguments, const std::string& subject,
                Route& route) {
    std::size_t without_share = 0;
    for (std::size_t i = 0; i < arguments.size();) {
      const Argument& pool = arguments[i++];
      Target target{unquote(pool.raw), 1};
      if (i < arguments.size() && !arguments[i].after_comma) {
        Value share = read_value(ValueType::Share, arguments[i].raw, arguments[i].quoted, 0, 1);
        if (!share.error.empty()) return diagnostics().add(arguments[i].location, share.error, share.fix);
        target.share = share.number;
        ++i;
      } else {
        ++without_share;
      }
      if (i < arguments.size() && !arguments[i].after_comma)
        return diagnostics().add(arguments[i].location, "a comma is missing before this");
      std::string target_subject = subject + "/to " + target.pool;
      if (locations_.contains(target_subject)) set_location(target_subject + "#2", pool.location);
      set_location(target_subject, pool.location);
      route.targets.push_back(std::move(target));
    }
    if (without_share > 0 && route.targets.size() > 1)
      diagnostics().add(arguments[0].location,
                        "several pools need a share each, as in: to status 90%, canary 10%");
  }
  void route_answer(const Item&, const std::vector<Argument>& arguments, const std::string&, Route& route) {
    Value status = read_value(ValueType::Count, arguments[0].raw, arguments[0].quoted, 200, 599);
    if (!status.error.empty()) return diagnostics().add(arguments[0].location, status.error, status.fix);
    route.answer.status = int(status.number);
    if (arguments.size() < 2) return;
    if (!arguments[1].quoted)
      return diagnostics().add(arguments[1].location, "the text of an answer stands in quotes",
                               "write " + quote(arguments[1].raw));
    route.answer.text = unquote(arguments[1].raw);
  }
  void route_location(const Item&, const std::vector<Argument>& arguments, const std::string&, Route& route) {
    std::string location = unquote(arguments[0].raw);
    bool is_valid = !location.empty() && std::all_of(location.begin(), location.end(), [](char c) {
      return static_cast<unsigned char>(c) > 0x20 && static_cast<unsigned char>(c) < 0x7f;
    });
    if (!is_valid)
      return diagnostics().add(arguments[0].location, "a location has no blanks and no letters but ASCII");
    route.answer.location = std::move(location);
  }
  // The request class of a route that names none: the one that is named like the first segment of the path,
  // or the only one of the site.
  void set_default_request_classes() {
    std::set<std::string> names;
    for (const RequestClass& one : site().request_classes) names.insert(one.name);
    for (Route& route : site().routes) {
      if (!route.request_class.empty() || route.targets.empty()) continue;
      std::string first_segment = route.path.substr(std::min<std::size_t>(1, route.path.size()));
      first_segment.resize(std::min(first_segment.size(), first_segment.find('/')));
      if (names.contains(first_segment)) route.request_class = first_segment;
      else if (names.size() == 1) route.request_class = *names.begin();
    }
  }

  ReadResult& result_;
  FileSource& files_;
  std::string site_folder_;
  std::map<std::string, int> loaded_;       // file numbers by canonical path
  std::vector<std::string> include_chain_;  // canonical paths of the files being loaded
  std::deque<Tree> trees_;
  std::vector<const Item*> items_;              // the top-level items of all files, in the order of inclusion
  std::map<std::string, const Item*> defined_;  // the `define` items by name
  std::unordered_map<std::string, SourceLocation> locations_;  // by subject
  std::set<std::string> incomplete_;  // subjects of sections with errors, or "site" for the whole
  std::size_t bytes_ = 0, remaining_elements_ = kMaxTreeElements;
  bool has_name_ = false, has_limits_ = false;
};

}  // namespace

ReadResult read_site(const std::string& path, FileSource& files) {
  ReadResult result;
  Reader(result, files).read(path);
  return result;
}

}  // namespace puffinvane::language
