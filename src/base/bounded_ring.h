#pragma once

#include <cstddef>
#include <functional>
#include <mutex>
#include <optional>
#include <utility>

#include <boost/circular_buffer.hpp>

namespace radishstep {

/// A bounded queue between two duties' threads. A full ring rejects the new item, so that the producer
/// decides what to do with it; the `wake` hook notifies the consumer's thread that an item is ready.
template <typename T>
class bounded_ring
{
public:
    explicit bounded_ring(std::size_t capacity) : items(capacity) {}

    /// Sets the hook that runs, on the producer's thread, when the ring stops being empty.
    void on_wake(std::function<void()> hook) { this->wake = std::move(hook); }

    /// Appends `item`. Returns false, and leaves the ring unchanged, when it is full.
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
