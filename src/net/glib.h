// RAII wrappers for GLib objects, errors and event sources.
#pragma once

#include <gio/gio.h>

#include <memory>
#include <utility>

namespace puffinvane {

struct Unref {
  void operator()(gpointer object) const { g_object_unref(object); }
};
template <typename T>
using Ref = std::unique_ptr<T, Unref>;

struct FreeError {
  void operator()(GError* error) const { g_error_free(error); }
};
using Error = std::unique_ptr<GError, FreeError>;

// Owns an attached source and destroys it, so that its callback is never called after the owner is gone.
class Source {
 public:
  Source() = default;
  explicit Source(GSource* source) : source_(source) {}
  Source(Source&& other) noexcept : source_(std::exchange(other.source_, nullptr)) {}
  Source& operator=(Source&& other) noexcept {
    if (this != &other) {
      reset();
      source_ = std::exchange(other.source_, nullptr);
    }
    return *this;
  }
  ~Source() { reset(); }

  void reset() {
    if (!source_) return;
    g_source_destroy(source_);
    g_source_unref(std::exchange(source_, nullptr));
  }
  GSource* get() const { return source_; }
  explicit operator bool() const { return source_ != nullptr; }

 private:
  GSource* source_ = nullptr;
};

}  // namespace puffinvane
