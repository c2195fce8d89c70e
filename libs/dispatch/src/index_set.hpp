#pragma once

// Sets of indices in which neighbours are the rule, such as the tasks of a step that have
// succeeded.

#include <cstddef>
#include <cstdint>
#include <initializer_list>
#include <iterator>
#include <vector>

namespace tanagerpaddle::dispatch {

// Keeps sorted ranges, so that its memory follows the number of gaps and not that of the members.
class index_set {
public:
    // The indices from `begin` to before `end`.
    struct range {
        std::uint32_t begin = 0;
        std::uint32_t end = 0;

        friend bool operator==(const range&, const range&) = default;
    };

    class const_iterator {
    public:
        using iterator_category = std::forward_iterator_tag;
        using value_type = std::uint32_t;
        using difference_type = std::ptrdiff_t;
        using pointer = const std::uint32_t*;
        using reference = const std::uint32_t&;

        const_iterator() = default;
        // The first index of the range, or the end of the set.
        const_iterator(const range* position, const range* end)
            : range_(position), end_(end), index_(position == end ? 0 : position->begin) {}

        reference operator*() const { return index_; }
        const_iterator& operator++() {
            if (++index_ == range_->end) {
                ++range_;
                index_ = range_ == end_ ? 0 : range_->begin;
            }
            return *this;
        }
        const_iterator operator++(int) {
            const auto before = *this;
            ++*this;
            return before;
        }
        friend bool operator==(const const_iterator& a, const const_iterator& b) {
            return a.range_ == b.range_ && a.index_ == b.index_;
        }

    private:
        const range* range_ = nullptr;
        const range* end_ = nullptr;
        std::uint32_t index_ = 0;
    };

    index_set() = default;
    index_set(std::initializer_list<std::uint32_t> indices);
    // The indices from 0 to before `count`.
    [[nodiscard]] static index_set first(std::uint32_t count);

    [[nodiscard]] std::size_t size() const noexcept { return size_; }
    [[nodiscard]] bool empty() const noexcept { return size_ == 0; }
    [[nodiscard]] bool contains(std::uint32_t index) const;
    // The lowest index. The set must not be empty.
    [[nodiscard]] std::uint32_t front() const { return ranges_.front().begin; }
    // The lowest index from `from` on that is not a member.
    [[nodiscard]] std::uint32_t first_absent(std::uint32_t from) const;
    // Number of members below `limit`.
    [[nodiscard]] std::size_t count_below(std::uint32_t limit) const;
    [[nodiscard]] const std::vector<range>& ranges() const noexcept { return ranges_; }
    [[nodiscard]] const_iterator begin() const;
    [[nodiscard]] const_iterator end() const;

    // Return false if nothing changes.
    bool insert(std::uint32_t index);
    bool erase(std::uint32_t index);
    // Adds the indices from `begin` to before `end`, which must follow all members.
    void append(std::uint32_t begin, std::uint32_t end);
    void clear() noexcept;

    friend bool operator==(const index_set&, const index_set&) = default;

private:
    // The first range that ends after the index, which contains it or lies behind it.
    [[nodiscard]] std::vector<range>::const_iterator find(std::uint32_t index) const;

    std::vector<range> ranges_;
    std::size_t size_ = 0;
};

}  // namespace tanagerpaddle::dispatch
