¢{"config_version":5,"limits":{},"route_list":[{"name":"r2","host":"h2.example","path_prefix":"/c/","timeout_ms":8,"service":"s2"}],"service_list":[{"name":"s2"}]}ñ­w‡’ĞuÔ„¥NŠ¥G~Ë[oM	Ü¯n¿ÄY,!ùè/$ÍPaÁ]%"
zone-a"
zone-c*

llm-1/5f*

llm-2/6021
placement/llmnode-1/0000beef10.0.0.1:7200 21
placement/imgnode-3/00000abc10.0.0.3:7200 8