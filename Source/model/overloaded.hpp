#ifndef BLUEBELLSPOKE_MODEL_OVERLOADED_HPP
#define BLUEBELLSPOKE_MODEL_OVERLOADED_HPP

namespace bluebellspoke
{

/// Combines function objects into one visitor for std::visit.
template <class... Functions>
struct overloaded : Functions...
{
    using Functions::operator()...;
};

template <class... Functions>
overloaded(Functions...) -> overloaded<Functions...>;

}

#endif
