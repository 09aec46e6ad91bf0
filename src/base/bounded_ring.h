#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/circular_buffer.hpp>

namespace radishstep {

/// A bounded queue between two duties. A full ring refuses the new item, so that the producer
/// decides what to do; the `wake` hook tells the consumer's thread that there is something to read.
template <typename T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : items(capacity) {}

    /// Sets the hook that runs, on the producer's thread, when the ring stops being empty.
    void on_wake(std::function<void()> hook) { this->wake = std::move(hook); }

    /// Returns false, and leaves the ring as it is, when it is full.
    bool push(T item)
    {
        {
            const std::scoped_lock lock{this->mutex};
            if (this->items.full())
                return false;
            this->items.push_back(std::move(item));
            if (this->items.size() > 1)
                return true;
        }
        if (this->wake)
            this->wake();
        return true;
    }

    /// Returns the oldest item, or nothing when the ring is empty.
    std::optional<T> pop()
    {
        const std::scoped_lock lock{this->mutex};
        if (this->items.empty())
            return std::nullopt;
        std::optional<T> item{std::move(this->items.front())};
        this->items.pop_front();
        return item;
    }

private:
    std::mutex mutex;
    boost::circular_buffer<T> items;
    std::function<void()> wake;
};

} // namespace radishstep
