mod paths;
mod pool;
