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
  std::error_code fault;
  if (!fs::is_regular_file(path, fault) || fs::file_size(path, fault) > kMost || fault) return {};
  std::ifstream file(path, std::ios::binary);
  if (!file) return {};
  std::ostringstream text;
  text << file.rdbuf();
  return std::move(text).str();
}

std::string DiskFileSource::canonical_path(const std::string& path) {
  std::error_code fault;
  fs::path real = fs::weakly_canonical(path, fault);
  return fault ? fs::path(path).lexically_normal().string() : real.string();
}

namespace {

constexpr std::size_t kMostBytes = DiskFileSource::kMost;  // of all files of one site
constexpr std::size_t kMostFiles = 1000, kDeepestDefine = 16;
constexpr double kDay = 86400, kMuch = 1e9;

std::string ticked(std::string_view word) { return "`" + std::string(word.substr(0, 60)) + "`"; }
std::string a(std::string_view word) {
  bool vowel = !word.empty() && std::string_view("aeiou").find(word.front()) != std::string_view::npos;
  return (vowel ? "an " : "a ") + ticked(word);
}

// One key of a section: how its value is written, within which bounds, and where it goes.
template <typename T>
struct Key {
  const char* word;
  ValueType type;
  double least, most;
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
    {"visits", ValueType::Rate, 0.001, kMuch, [](Limits& it, const Value& v) { it.requests = v.number; }},
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
constexpr auto kPrefixKeys = std::to_array<Key<RequestClass>>({
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
constexpr auto kCustomerKeys = std::to_array<Key<Tenant>>({
    {"share", ValueType::Share, 0.0001, 1, [](Tenant& it, const Value& v) { it.share = v.number; }},
    {"quota", ValueType::Rate, 0.001, kMuch, [](Tenant& it, const Value& v) { it.quota = v.number; }},
});

class Reader {
 public:
  Reader(ReadResult& result, FileSource& files) : result_(result), files_(files) {}

  void read(const std::string& path) {
    fs::path root = files_.canonical_path(path);
    folder_ = root.parent_path().string();
    std::optional<std::string> text = files_.read(path);
    if (!text) {
      result_.found = false;
      return;
    }
    load(path, root.string(), std::move(*text));
    bool sound = result_.diagnostics.empty();  // after a fault of syntax whole parts may be missing
    defines();
    for (const Item* item : items_) section(*item);
    default_prefixes();
    std::vector<Finding> findings = check(result_.site);
    bool other =
        std::any_of(findings.begin(), findings.end(), [](const Finding& it) { return !it.is_omission; });
    for (const Finding& finding : findings) {
      if ((finding.is_omission && (other || !sound || !spoilt_.empty())) || doubtful(finding.subject))
        continue;
      if (!sound && finding.text.starts_with("no ")) continue;
      diagnostics().add(location_of(finding.subject), finding.text, finding.fix);
    }
  }

 private:
  Diagnostics& diagnostics() { return result_.diagnostics; }
  Site& made() { return result_.site; }

  // ---- files
  void load(const std::string& path, const std::string& real, std::string text) {
    bytes_ += text.size();
    int file = result_.sources.add(path, std::move(text));
    loaded_.emplace(real, file);
    trees_.push_back(parse(file, result_.sources.text(file), diagnostics(), room_));
    chain_.push_back(real);
    const Tree& tree = trees_.back();
    for (const Item& item : tree.items) {
      if (item.word == "include") include(item, path);
      else items_.push_back(&item);
    }
    chain_.pop_back();
  }
  std::string spot(const SourceLocation& location) const {
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
    std::string real = files_.canonical_path(path.string());
    fs::path inside = fs::path(real).lexically_relative(folder_);
    if (inside.empty() || *inside.begin() == "..")
      return diagnostics().add(argument.location,
                               "the file lies outside the site's folder, " + ticked(folder_));
    auto again = std::find(chain_.begin(), chain_.end(), real);
    if (again != chain_.end()) {
      std::vector<std::string> notes;
      for (auto at = again; at != chain_.end(); ++at) {
        const std::string& next = at + 1 == chain_.end() ? real : *(at + 1);
        notes.push_back(fs::path(*at).filename().string() + " includes " +
                        fs::path(next).filename().string());
      }
      return diagnostics().add(argument.location, "includes in a circle", "", std::move(notes));
    }
    if (loaded_.contains(real)) return diagnostics().add(argument.location, "this file is included already");
    if (loaded_.size() >= kMostFiles) return diagnostics().add(argument.location, "more than 1000 files");
    std::optional<std::string> text = files_.read(path.string());
    if (text && bytes_ + text->size() > kMostBytes)
      return diagnostics().add(argument.location, "the site's files have more than 64MiB together");
    if (!text)
      return diagnostics().add(argument.location,
                               "no file " + ticked(name) + " that can be read, up to 64MiB");
    load(path.lexically_normal().string(), real, std::move(*text));
  }

  // ---- named values
  void defines() {
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
      if (!is_name(name)) diagnostics().add(item->arguments.front().location, ticked(name) + " is no name");
      if (!defined_.emplace(std::string(name), item).second)
        diagnostics().add(item->arguments.front().location, "a second value named " + ticked(name), "",
                          {"the first is at " + spot(defined_.at(std::string(name))->location)});
    }
  }
  // Arguments with the named values in their places.
  std::vector<Argument> resolved(const Item& item) {
    std::vector<Argument> all;
    for (const Argument& argument : item.arguments) add_resolved(argument, argument, all, 0);
    return all;
  }
  void add_resolved(const Argument& argument, const Argument& used, std::vector<Argument>& into,
                    std::size_t depth) {
    if (argument.quoted || !argument.raw.starts_with('$')) {
      into.push_back({argument.raw, used.location, argument.quoted, used.after_comma});
      return;
    }
    std::string name(argument.raw.substr(1));
    auto found = defined_.find(name);
    if (found == defined_.end()) {
      std::vector<std::string> names;
      for (const auto& [one, item] : defined_) names.push_back(one);
      std::string meant = closest_name(name, names);
      diagnostics().add(used.location, "no value is named " + ticked(argument.raw),
                        meant.empty() ? "" : "did you mean `$" + meant + "`?");
      return;
    }
    if (depth >= kDeepestDefine || into.size() > 1000)
      return diagnostics().add(used.location, ticked(argument.raw) + " is defined by way of itself");
    const std::vector<Argument>& value = found->second->arguments;
    for (std::size_t i = 1; i < value.size(); ++i) {
      Argument next = used;
      next.after_comma = i == 1 ? used.after_comma : value[i].after_comma;
      std::size_t before = diagnostics().count();
      add_resolved(value[i], next, into, depth + 1);
      if (diagnostics().count() != before) return;  // a circle is said once
    }
  }

  // ---- sections
  using Section = void (Reader::*)(const Item&);
  void section(const Item& item) {
    static const std::map<std::string_view, Section> kSections = {
        {"site", &Reader::site_name},    {"define", nullptr},      {"limits", &Reader::limits},
        {"listener", &Reader::listener}, {"pool", &Reader::pool},  {"prefix", &Reader::prefix},
        {"customer", &Reader::tenant},   {"route", &Reader::route}};
    auto found = kSections.find(item.word);
    if (item.is_malformed) spoilt_.insert("site");
    if (item.is_malformed && (!item.has_block || found == kSections.end())) return;
    if (found == kSections.end()) {
      spoilt_.insert("site");
      std::vector<std::string> words{"include"};
      for (const auto& [word, read] : kSections) words.emplace_back(word);
      return unknown(item, "a site", words);
    }
    if (found->second) (this->*found->second)(item);
  }
  void unknown(const Item& item, const std::string& whose, const std::vector<std::string>& words) {
    std::string meant = closest_name(std::string(item.word), words);
    std::string all;
    for (const std::string& word : words) all += (all.empty() ? "" : ", ") + word;
    diagnostics().add(item.location, ticked(item.word) + " is nothing that " + whose + " has: " + all,
                      meant.empty() ? "" : "did you mean `" + meant + "`?");
  }
  void note(const std::string& subject, const SourceLocation& location) {
    locations_.emplace(subject, location);
  }
  SourceLocation location_of(std::string subject) const {
    while (true) {
      auto found = locations_.find(subject);
      if (found != locations_.end()) return found->second;
      std::size_t cut = subject.find_last_of("/#");
      if (cut == std::string::npos) return {};
      subject.resize(cut);
    }
  }
  bool doubtful(const std::string& subject) const {
    return spoilt_.contains(subject.substr(0, std::min(subject.find_first_of("/#"), subject.size())));
  }
  // `word name {`: the name, or none if it can't be used. `extra`: arguments behind the name.
  std::optional<std::string> open(const Item& item, const std::string& example, std::size_t extra = 0) {
    std::vector<Argument> arguments = resolved(item);
    if (arguments.empty()) {
      diagnostics().add(item.location, ticked(item.word) + " needs a name, as in " + example);
    } else if (arguments.size() > 1 + extra) {
      diagnostics().add(arguments[1 + extra].location, "nothing more belongs here: " + example);
    } else if (Value name = read_value(ValueType::Name, arguments[0].raw, arguments[0].quoted, 0, 0);
               !name.error.empty()) {
      diagnostics().add(arguments[0].location, name.error, name.fix);
    } else {
      return name.text;
    }
    spoilt_.insert("site");
    return {};
  }
  std::string opened(const Item& item, const std::string& name) {
    std::string subject = std::string(item.word) + " " + name;
    if (locations_.contains(subject))
      note(subject + "#2", item.arguments.empty() ? item.location : item.arguments[0].location);
    note(subject, item.arguments.empty() ? item.location : item.arguments[0].location);
    if (item.is_malformed) spoilt_.insert(subject);
    if (!item.has_block && !item.is_malformed) {
      diagnostics().add(item.location, ticked(item.word) + " has no block",
                        "add `{` and `}` with what it has");
      spoilt_.insert(subject);
    }
    return subject;
  }
  void spoil(const std::string& subject) { spoilt_.insert(subject.substr(0, subject.find('/'))); }

  // A section's values by its table; what the table doesn't know goes to `special`, which says if it did.
  template <typename T, std::size_t N>
  void values(const Item& item, const std::string& subject, const std::array<Key<T>, N>& keys, T& into,
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
        spoil(subject);
        unknown(one, a(item.word), words);
        continue;
      }
      if (!once(one, seen)) {
        spoil(subject);
        continue;
      }
      if (std::optional<Value> value = one_value(one, subject, key->type, key->least, key->most))
        key->set(into, *value);
    }
    for (const Key<T>& key : keys) {
      if (!key.required || seen.contains(key.word) || !item.has_block || item.is_malformed) continue;
      diagnostics().add(item.location, ticked(item.word) + " needs " + a(key.word));
      spoil(subject);
    }
  }
  bool once(const Item& item, std::map<std::string_view, SourceLocation>& seen) {
    auto [first, fresh] = seen.emplace(item.word, item.location);
    if (!fresh)
      diagnostics().add(item.location, "a second " + ticked(item.word), "",
                        {"the first is at " + spot(first->second)});
    return fresh;
  }
  std::optional<Value> one_value(const Item& item, const std::string& subject, ValueType type, double least,
                                 double most) {
    std::size_t said = diagnostics().count();
    std::vector<Argument> arguments = resolved(item);
    if (item.has_block) diagnostics().add(item.location, ticked(item.word) + " has a value, not a block");
    else if (arguments.empty() && diagnostics().count() == said)
      diagnostics().add(item.location, ticked(item.word) + " needs a value");
    else if (arguments.size() > 1) {
      std::string joined = std::string(arguments[0].raw) + std::string(arguments[1].raw);
      bool split = arguments.size() == 2 && read_value(type, joined, false, least, most).error.empty();
      diagnostics().add(arguments[1].location,
                        split ? "a quantity has no blank in it" : ticked(item.word) + " takes one value",
                        split ? "write " + joined : "");
    } else if (!arguments.empty()) {
      Value value = read_value(type, arguments[0].raw, arguments[0].quoted, least, most);
      note(subject + "/" + std::string(item.word), arguments[0].location);
      if (value.error.empty()) return value;
      diagnostics().add(arguments[0].location, value.error, value.fix, named_at(item));
    }
    spoil(subject);
    return {};
  }
  std::vector<std::string> named_at(const Item& item) const {
    std::vector<std::string> notes;
    for (const Argument& argument : item.arguments) {
      if (argument.quoted || !argument.raw.starts_with('$')) continue;
      auto found = defined_.find(std::string(argument.raw.substr(1)));
      if (found != defined_.end()) notes.push_back("its value stands at " + spot(found->second->location));
    }
    return notes;
  }

  void site_name(const Item& item) {
    if (std::exchange(named_, true)) return diagnostics().add(item.location, "a second `site`");
    if (item.has_block) return diagnostics().add(item.location, "`site` takes a name and no block");
    if (auto name = open(item, "site leuven")) made().name = *name, note("site", item.location);
  }
  void limits(const Item& item) {
    if (std::exchange(limited_, true)) return diagnostics().add(item.location, "a second `limits`");
    if (!item.arguments.empty()) diagnostics().add(item.arguments[0].location, "`limits` has no name");
    if (!item.has_block) return diagnostics().add(item.location, "`limits` has no block");
    values(item, "limits", kLimitKeys, made().limits);
  }
  void listener(const Item& item) {
    auto name = open(item, "listener main {");
    Listener read{name.value_or(""), ""};
    values(item, opened(item, read.name), kListenerKeys, read);
    if (name) made().listeners.push_back(std::move(read));
  }
  void pool(const Item& item) {
    auto name = open(item, "pool status {");
    Pool read;
    read.name = name.value_or("");
    std::string of = opened(item, read.name);
    values(item, of, kPoolKeys, read,
           [&](const Item& one) {
             if (one.word != "endpoint") return false;
             endpoint(one, of, read);
             return true;
           },
           {"endpoint"});
    if (name) made().pools.push_back(std::move(read));
  }
  void endpoint(const Item& item, const std::string& of, Pool& pool) {
    std::vector<Argument> arguments = resolved(item);
    if (arguments.size() != 2) {
      diagnostics().add(item.location,
                        "an endpoint has a name and an address, as endpoint one 127.0.0.1:6000");
      return spoil(of);
    }
    Value name = read_value(ValueType::Name, arguments[0].raw, arguments[0].quoted, 0, 0);
    Value address = read_value(ValueType::Address, arguments[1].raw, arguments[1].quoted, 0, 0);
    Endpoint read{name.text, address.text, "", 0, 1};
    std::string its = of + "/endpoint " + name.text;
    if (locations_.contains(its)) note(its + "#2", arguments[0].location);
    note(its, arguments[0].location), note(its + "/address", arguments[1].location);
    if (!name.error.empty()) diagnostics().add(arguments[0].location, name.error, name.fix), spoil(of);
    if (!address.error.empty())
      diagnostics().add(arguments[1].location, address.error, address.fix), spoil(of);
    values(item, its, kEndpointKeys, read);
    pool.endpoints.push_back(std::move(read));
  }
  void prefix(const Item& item) {
    auto name = open(item, "prefix status {");
    RequestClass read;
    read.name = name.value_or("");
    values(item, opened(item, read.name), kPrefixKeys, read);
    if (name) made().request_classes.push_back(std::move(read));
  }
  void tenant(const Item& item) {
    auto name = open(item, "customer leuven {");
    Tenant read;
    read.name = name.value_or("");
    values(item, opened(item, read.name), kCustomerKeys, read);
    if (name) made().tenants.push_back(std::move(read));
  }

  // ---- routes
  struct RouteKey {
    const char* word;
    void (Reader::*read)(const Item&, const std::vector<Argument>&, const std::string&, Route&);
    bool often = false;
    std::size_t least = 1, most = 1;
    const char* example;
  };
  void route(const Item& item) {
    static constexpr std::size_t kAny = 100000;
    static const std::vector<RouteKey> kKeys = {
        {"on", &Reader::route_on, false, 1, kAny, "on main, second"},
        {"host", &Reader::route_host, false, 1, kAny, "host www.example.org, *.example.org"},
        {"path", &Reader::route_path, false, 1, 1, "path /status"},
        {"exact", &Reader::route_path, false, 1, 1, "exact /status"},
        {"method", &Reader::route_method, false, 1, kAny, "method GET, POST"},
        {"header", &Reader::route_header, true, 2, 3, "header X-Canary is yes"},
        {"rewrite", &Reader::route_rewrite, false, 1, 1, "rewrite /v2"},
        {"as", &Reader::route_as, false, 1, 1, "as status"},
        {"to", &Reader::route_to, false, 1, kAny, "to status 90%, canary 10%"},
        {"answer", &Reader::route_answer, false, 1, 2, "answer 404 \"no such page\""},
        {"location", &Reader::route_location, false, 1, 1, "location \"https://example.org/\""},
    };
    auto name = open(item, "route status {");
    Route read;
    read.name = name.value_or("");
    std::string of = opened(item, read.name);
    std::map<std::string_view, SourceLocation> seen;
    for (const Item& one : item.block) {
      if (one.is_malformed) {
        spoil(of);
        continue;
      }
      auto key =
          std::find_if(kKeys.begin(), kKeys.end(), [&](const RouteKey& it) { return it.word == one.word; });
      if (key == kKeys.end()) {
        std::vector<std::string> words;
        for (const RouteKey& it : kKeys) words.emplace_back(it.word);
        spoil(of);
        unknown(one, "a `route`", words);
        continue;
      }
      std::size_t said = diagnostics().count();
      std::vector<Argument> arguments = resolved(one);
      if (!key->often && !once(one, seen)) {
      } else if (one.has_block) {
        diagnostics().add(one.location, ticked(one.word) + " has no block");
      } else if (arguments.size() < key->least && diagnostics().count() == said) {
        diagnostics().add(one.location, ticked(one.word) + " is written as in: " + key->example);
      } else if (arguments.size() > key->most) {
        diagnostics().add(arguments[key->most].location,
                          "nothing more belongs here: " + std::string(key->example));
      } else if (diagnostics().count() == said) {
        note(of + "/" + key->word, arguments[0].location);
        (this->*key->read)(one, arguments, of, read);
      }
      if (diagnostics().count() != said) spoil(of);
    }
    if (seen.contains("path") && seen.contains("exact")) {
      diagnostics().add(seen.at("exact"), "a `path` and an `exact`: one of them has to go");
      spoil(of);
    }
    if (name) made().routes.push_back(std::move(read));
  }
  // A list's items stand between commas; two without one are said once.
  bool listed(const std::vector<Argument>& arguments) {
    for (std::size_t i = 1; i < arguments.size(); ++i) {
      if (arguments[i].after_comma) continue;
      diagnostics().add(arguments[i].location, "a comma is missing before this",
                        "write " + std::string(arguments[i - 1].raw) + ", " + std::string(arguments[i].raw));
      return false;
    }
    std::set<std::string_view> all;
    for (const Argument& argument : arguments) {
      if (!all.insert(argument.raw).second)
        diagnostics().add(argument.location, ticked(argument.raw) + " twice");
    }
    return true;
  }
  void route_on(const Item&, const std::vector<Argument>& arguments, const std::string& of, Route& route) {
    if (!listed(arguments)) return;
    for (const Argument& one : arguments) {
      route.listeners.push_back(unquote(one.raw));
      note(of + "/on " + route.listeners.back(), one.location);
    }
  }
  void route_host(const Item&, const std::vector<Argument>& arguments, const std::string&, Route& route) {
    if (!listed(arguments)) return;
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
    if (!listed(arguments)) return;
    for (const Argument& one : arguments) {
      std::string method = unquote(one.raw), upper = method;
      for (char& c : upper) c = c >= 'a' && c <= 'z' ? char(c - 32) : c;
      if (!is_token(method))
        diagnostics().add(one.location, ticked(one.raw) + " is no method, as GET or POST");
      else if (upper != method)
        diagnostics().add(one.location, "methods are written in capitals", "write " + upper);
      else if (method == "CONNECT") diagnostics().add(one.location, "CONNECT is not served");
      else route.methods.push_back(std::move(method));
    }
  }
  void route_header(const Item&, const std::vector<Argument>& arguments, const std::string& of,
                    Route& route) {
    static const std::vector<std::string> kTests{"is", "is-not", "starts", "present", "absent"};
    Condition condition;
    condition.header = unquote(arguments[0].raw);
    note(of + "/header " + std::to_string(route.conditions.size()), arguments[0].location);
    if (!is_token(condition.header))
      return diagnostics().add(arguments[0].location, ticked(arguments[0].raw) + " is no name of a header");
    auto test = std::find(kTests.begin(), kTests.end(), arguments[1].raw);
    if (test == kTests.end()) {
      std::string meant = closest_name(std::string(arguments[1].raw), kTests);
      return diagnostics().add(
          arguments[1].location,
          ticked(arguments[1].raw) + " is no test of a header: is, is-not, starts, present or absent",
          meant.empty() ? "" : "did you mean `" + meant + "`?");
    }
    condition.test = Condition::Test(test - kTests.begin());
    bool takes = condition.test < Condition::Test::Present;
    if (takes && arguments.size() < 3)
      return diagnostics().add(arguments[1].location, ticked(arguments[1].raw) + " needs a value");
    if (!takes && arguments.size() > 2)
      return diagnostics().add(arguments[2].location, ticked(arguments[1].raw) + " takes no value");
    if (takes) condition.value = unquote(arguments[2].raw);
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
  void route_to(const Item&, const std::vector<Argument>& arguments, const std::string& of, Route& route) {
    std::size_t unnumbered = 0;
    for (std::size_t i = 0; i < arguments.size();) {
      const Argument& pool = arguments[i++];
      Target target{unquote(pool.raw), 1};
      if (i < arguments.size() && !arguments[i].after_comma) {
        Value share = read_value(ValueType::Share, arguments[i].raw, arguments[i].quoted, 0, 1);
        if (!share.error.empty()) return diagnostics().add(arguments[i].location, share.error, share.fix);
        target.share = share.number;
        ++i;
      } else {
        ++unnumbered;
      }
      if (i < arguments.size() && !arguments[i].after_comma)
        return diagnostics().add(arguments[i].location, "a comma is missing before this");
      std::string its = of + "/to " + target.pool;
      if (locations_.contains(its)) note(its + "#2", pool.location);
      note(its, pool.location);
      route.targets.push_back(std::move(target));
    }
    if (unnumbered > 0 && route.targets.size() > 1)
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
                               "write " + quoted(arguments[1].raw));
    route.answer.text = unquote(arguments[1].raw);
  }
  void route_location(const Item&, const std::vector<Argument>& arguments, const std::string&, Route& route) {
    std::string location = unquote(arguments[0].raw);
    bool plain = !location.empty() && std::all_of(location.begin(), location.end(), [](char c) {
      return static_cast<unsigned char>(c) > 0x20 && static_cast<unsigned char>(c) < 0x7f;
    });
    if (!plain)
      return diagnostics().add(arguments[0].location, "a location has no blanks and no letters but ASCII");
    route.answer.location = std::move(location);
  }
  // Where a route doesn't say whose kind and times its requests have: the prefix that its path begins with,
  // or the only one.
  void default_prefixes() {
    std::set<std::string> names;
    for (const RequestClass& one : made().request_classes) names.insert(one.name);
    for (Route& route : made().routes) {
      if (!route.request_class.empty() || route.targets.empty()) continue;
      std::string first = route.path.substr(std::min<std::size_t>(1, route.path.size()));
      first.resize(std::min(first.size(), first.find('/')));
      if (names.contains(first)) route.request_class = first;
      else if (names.size() == 1) route.request_class = *names.begin();
    }
  }

  ReadResult& result_;
  FileSource& files_;
  std::string folder_;
  std::map<std::string, int> loaded_;
  std::vector<std::string> chain_;
  std::deque<Tree> trees_;
  std::vector<const Item*> items_;
  std::map<std::string, const Item*> defined_;
  std::unordered_map<std::string, SourceLocation> locations_;
  std::set<std::string> spoilt_;
  std::size_t bytes_ = 0, room_ = kMaxTreeElements;
  bool named_ = false, limited_ = false;
};

}  // namespace

ReadResult read_site(const std::string& path, FileSource& files) {
  ReadResult result;
  Reader(result, files).read(path);
  return result;
}

}  // namespace puffinvane::language
