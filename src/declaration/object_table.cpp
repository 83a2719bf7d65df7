#include "declaration/object_table.h"

#include <utility>

namespace pomelohoist {

namespace {

// Copying 16,400 objects takes about 20 ms. With this limit the objects are copied once for many changes, and copying
// the changes takes far less than a millisecond.
constexpr std::size_t max_changes = 128;

} // namespace

object_table::object_table() : object_table(object_map{}) {}

object_table::object_table(object_map content)
    : base(std::make_shared<const object_map>(std::move(content))), merged(std::make_shared<merged_objects>()) {}

const object_fields* object_table::find(const object_key& key) const {
    const auto changed = this->changes.find(key);
    if (changed != this->changes.end()) {
        return changed->second ? &*changed->second : nullptr;
    }
    const auto found = this->base->find(key);
    return found == this->base->end() ? nullptr : &found->second;
}

void object_table::for_each(
    object_kind kind, const std::function<void(const std::string& name, const object_fields& fields)>& visitor) const {
    const object_key first{kind, ""};
    auto unchanged = this->base->lower_bound(first);
    auto changed = this->changes.lower_bound(first);
    while (true) {
        const bool has_unchanged = unchanged != this->base->end() && unchanged->first.kind == kind;
        const bool has_changed = changed != this->changes.end() && changed->first.kind == kind;
        if (!has_unchanged && !has_changed) {
            return;
        }
        if (has_changed && (!has_unchanged || !(unchanged->first < changed->first))) {
            if (changed->second) {
                visitor(changed->first.name, *changed->second);
            }
            if (has_unchanged && unchanged->first == changed->first) {
                ++unchanged;
            }
            ++changed;
        } else {
            visitor(unchanged->first.name, unchanged->second);
            ++unchanged;
        }
    }
}

const object_map& object_table::all() const {
    if (this->changes.empty()) {
        return *this->base;
    }
    const std::lock_guard lock{this->merged->mutex};
    if (!this->merged->content) {
        this->merged->content = std::make_shared<const object_map>(this->merge());
    }
    return *this->merged->content;
}

object_map object_table::merge() const {
    object_map content = *this->base;
    for (const auto& [key, fields] : this->changes) {
        if (fields) {
            content[key] = *fields;
        } else {
            content.erase(key);
        }
    }
    return content;
}

object_table object_table::begin_change() const {
    object_table next = *this;
    std::shared_ptr<const object_map> content;
    {
        const std::lock_guard lock{this->merged->mutex};
        content = this->merged->content;
    }
    // A merged map that already exists becomes the base, so that the old base and the merged map are not both held.
    if (!content && this->changes.size() >= max_changes) {
        content = std::make_shared<const object_map>(this->merge());
    }
    if (content) {
        next.base = std::move(content);
        next.changes.clear();
    }
    next.merged = std::make_shared<merged_objects>();
    return next;
}

void object_table::end_change() {
    if (this->changes.size() <= max_changes) {
        return;
    }
    // Without this merge, the next change would copy thousands of changed objects and hold each of them twice in
    // memory.
    object_map content = *this->base;
    for (auto& [key, fields] : this->changes) {
        if (fields) {
            content[key] = std::move(*fields);
        } else {
            content.erase(key);
        }
    }
    this->base = std::make_shared<const object_map>(std::move(content));
    this->changes.clear();
}

object_fields& object_table::modify(const object_key& key) {
    const auto [slot, is_new] = this->changes.try_emplace(key);
    if (is_new) {
        const auto unchanged = this->base->find(key);
        slot->second = unchanged == this->base->end() ? object_fields{} : unchanged->second;
    } else if (!slot->second) {
        slot->second = object_fields{};
    }
    return *slot->second;
}

void object_table::erase(const object_key& key) {
    this->changes[key] = std::nullopt;
}

} // namespace pomelohoist
